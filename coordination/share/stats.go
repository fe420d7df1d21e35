package share

import (
	"math"
	"time"
)

// Stats counts what the choice did, for the operators' metrics.
type Stats struct {
	Starts   int64
	Pulls    int64
	Empties  int64
	Declines int64
	// BusySlots is the slot time in which attempts ran.
	BusySlots time.Duration
	// IdleWhileWaiting is the slot time idle while a router had registered
	// waiting work.
	IdleWhileWaiting time.Duration
}

func (t *Stats) advance(s *State, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	t.BusySlots += time.Duration(len(s.runs)) * elapsed
	if idle := s.slots - len(s.runs); idle > 0 && !s.closed() && s.backlog() {
		t.IdleWhileWaiting += time.Duration(idle) * elapsed
	}
}

// Stats returns the counts so far.
func (s *State) Stats() Stats { return s.stats }

// TeamCosts calls visit with each team's cost given here since the start.
func (s *State) TeamCosts(visit func(team string, cost float64)) {
	for team := range s.accounts {
		visit(team, s.ledger.Own(team))
	}
}

// Parameters of the look-ahead.
const (
	// timingGain is the weight of one more duration in the averages.
	timingGain = 0.1
	// idleTolerated is the part of a slot's time that may pass idle during a
	// pull. Where it is less, work is bound as late as possible instead.
	idleTolerated = 0.001
)

// timing keeps what the look-ahead is worked out from, in seconds.
type timing struct {
	roundTrip float64
	runTime   float64
}

func (t *timing) answered(d time.Duration) { average(&t.roundTrip, d) }

func (t *timing) ran(d time.Duration) { average(&t.runTime, d) }

func average(mean *float64, d time.Duration) {
	if *mean == 0 {
		*mean = d.Seconds()
		return
	}
	*mean += timingGain * (d.Seconds() - *mean)
}

// ahead returns how many requests to pull ahead of a free slot: as many as end
// during one round trip, at most, and none where the idle time does not
// matter. Until both times are known it is the most that is allowed.
func (t *timing) ahead(slots, most int) int {
	if t.runTime == 0 || t.roundTrip == 0 {
		return most
	}
	idle := t.roundTrip / t.runTime
	if idle < idleTolerated {
		return 0
	}
	return min(most, int(math.Ceil(idle*float64(slots))))
}
