// Package callergate decides at a router's listener which callers' connections are read,
// by the team that the caller's address told before.
//
// Direct routers use it, over coordination/intake.
package callergate

import (
	"net/netip"
	"sync"
	"time"

	"goldcrestport/coordination/intake"
)

// Gate is safe for concurrent use.
type Gate struct {
	// teamOf tells the team of an address, or none.
	teamOf func(netip.Addr) string
	// isBeyond tells whether a team got more than its share.
	isBeyond func(team string) bool
	// closed is told of each connection that is closed unread.
	closed func(team string)

	mu sync.Mutex
	// room tells that a place became free, or that the gate chooses.
	room   *sync.Cond
	intake *intake.State
	// beyond holds what isBeyond said last of the teams that come, judged is when.
	beyond map[string]bool
	judged time.Time
}

// judgeEvery is the time between two looks at the teams' shares.
const judgeEvery = 100 * time.Millisecond

// New returns a gate that takes everything. The config must be valid.
func New(cfg intake.Config, teamOf func(netip.Addr) string, isBeyond func(team string) bool, closed func(team string)) *Gate {
	g := &Gate{teamOf: teamOf, isBeyond: isBeyond, closed: closed, intake: intake.New(cfg), beyond: make(map[string]bool)}
	g.room = sync.NewCond(&g.mu)
	return g
}

// Wait implements callerconn.Gate.
func (g *Gate) Wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.intake.HasRoom() && !g.intake.Limiting() {
		g.room.Wait()
	}
}

// Chooses implements callerconn.Gate.
func (g *Gate) Chooses() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.intake.Limiting()
}

// Takes implements callerconn.Gate.
func (g *Gate) Takes(from netip.Addr) (decided func(), taken bool) {
	team := g.teamOf(from)
	g.mu.Lock()
	as, taken := g.intake.Admit(time.Now(), team, g.beyond[team])
	g.mu.Unlock()
	if !taken {
		g.closed(team)
		return nil, false
	}
	return func() { g.decided(as) }, true
}

func (g *Gate) decided(as string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.intake.Decided(as)
	g.room.Signal()
}

// Observe takes how late input was read, several times a second, and whether the router
// holds as many streams as it can. It reports whether the gate began to choose, or ceased.
func (g *Gate) Observe(now time.Time, late time.Duration, full bool) (changed bool) {
	g.mu.Lock()
	before := g.intake.Limiting()
	g.intake.Observe(now, late, full)
	dealing := g.intake.Limiting()
	var teams []string
	if dealing && now.Sub(g.judged) >= judgeEvery {
		g.judged, teams = now, g.intake.Teams()
	}
	g.mu.Unlock()
	if teams != nil {
		g.judge(teams)
	}
	if before != dealing {
		g.room.Broadcast()
	}
	return before != dealing
}

// judge asks which teams are beyond their share.
func (g *Gate) judge(teams []string) {
	beyond := make(map[string]bool)
	for _, team := range teams {
		if team != "" && g.isBeyond(team) {
			beyond[team] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beyond = beyond
}
