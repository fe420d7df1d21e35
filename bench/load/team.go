package load

import (
	"fmt"
	"math"
)

// Services that the workload calls.
const (
	ModelService = "counsel-llm"
	PlainService = "ledger-app"
)

// Kind says how the callers of a team behave.
type Kind int

const (
	// Backlogged callers each send the next request when the last one ended;
	// there are more of them than slots for the team.
	Backlogged Kind = iota + 1
	// Flooding callers do the same, but far more of them than the team's
	// queues hold; refused ones come back as told.
	Flooding
	// Light callers send a short request now and then.
	Light
	// Plain callers send a short call of the plain service now and then.
	Plain
)

// Team is one team of the workload.
type Team struct {
	Name  string
	Kind  Kind
	Share float64
	// Callers is the number of closed-loop callers.
	Callers int
	// Rate of an open loop, in requests a second.
	Rate float64
	// Routers weighs the routers through which the team's callers come.
	Routers []float64
	// MaxQueued bounds the team's queue per router; 0 for the default.
	MaxQueued int
}

// Service returns the service that the team calls.
func (t Team) Service() string {
	if t.Kind == Plain {
		return PlainService
	}
	return ModelService
}

// Saturating reports whether the team has more requests than slots all the
// time.
func (t Team) Saturating() bool { return t.Kind == Backlogged || t.Kind == Flooding }

// Routers is the number of routers that the workload is spread over.
const Routers = 3

// longPart is the part of long readings among the requests of each router:
// one router carries mostly long readings, one only short requests.
var longPart = [Routers]float64{0.9, 0, 0.5}

// Numbers of teams and callers.
const (
	lightTeams     = 8
	plainTeams     = 3
	floodCallers   = 500
	floodMaxQueued = 128
	lightRate      = 1.0
	plainRate      = 10.0
	baseCallers    = 32
	callersByShare = 16
)

// Teams returns the workload's 16 teams: four large ones, one that floods,
// light ones and users of the plain service. Rates are multiplied by scale.
func Teams(scale float64) []Team {
	teams := []Team{
		large("large-1", 4, 0.7, 0.1, 0.2),
		large("large-2", 2, 0.2, 0.2, 0.6),
		large("large-3", 2, 0.1, 0.8, 0.1),
		large("large-4", 1, 0.4, 0.3, 0.3),
		{
			Name: "flood", Kind: Flooding, Share: 1, Callers: floodCallers,
			Routers: []float64{0.5, 0.2, 0.3}, MaxQueued: floodMaxQueued,
		},
	}
	for i := range lightTeams {
		teams = append(teams, Team{
			Name: fmt.Sprintf("light-%d", i+1), Kind: Light, Share: 1,
			Rate: lightRate * scale, Routers: mostly(i),
		})
	}
	for i := range plainTeams {
		teams = append(teams, Team{
			Name: fmt.Sprintf("plain-%d", i+1), Kind: Plain, Share: 1,
			Rate: plainRate * scale, Routers: mostly(i),
		})
	}
	return teams
}

func large(name string, share float64, routers ...float64) Team {
	return Team{
		Name: name, Kind: Backlogged, Share: share, Routers: routers,
		Callers: baseCallers + int(share*callersByShare),
	}
}

// mostly weighs one router over the others.
func mostly(i int) []float64 {
	w := []float64{0.1, 0.1, 0.1}
	w[i%Routers] = 0.8
	return w
}

// placement spreads n callers over the routers by weight.
func placement(n int, weights []float64) []int {
	out := make([]int, 0, n)
	sum, total := 0.0, 0.0
	for _, w := range weights {
		total += w
	}
	for i, w := range weights {
		sum += w
		for len(out) < int(math.Round(sum/total*float64(n))) {
			out = append(out, i)
		}
	}
	return out
}
