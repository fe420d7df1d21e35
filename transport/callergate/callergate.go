// Package callergate decides at a router's listener which callers' connections are admitted, by
// the team that was last seen at the caller's address. The decisions are those of
// coordination/intake.
//
// It is used by direct routers.
package callergate

import (
	"net/netip"
	"sync"
	"time"

	"goldcrestport/coordination/intake"
)

// Gate implements callerconn.Gate. It is safe for concurrent use.
type Gate struct {
	// teamOf returns the team of an address, or "" if it is unknown.
	teamOf func(netip.Addr) string
	// isOverShare reports whether a team received more than its share.
	isOverShare func(team string) bool
	// onClosed is called for each connection that is rejected and so closed unread.
	onClosed func(team string)

	mu sync.Mutex
	// room is signalled when a place becomes free, and when the gate starts or stops limiting.
	room   *sync.Cond
	intake *intake.State
	// overShare holds the last results of isOverShare for the teams that connect, and
	// checkedAt is when they were obtained.
	overShare map[string]bool
	checkedAt time.Time
}

// shareCheckInterval is the minimum time between two checks of the teams' shares.
const shareCheckInterval = 100 * time.Millisecond

// New returns a gate that admits all connections. The config must be valid.
func New(cfg intake.Config, teamOf func(netip.Addr) string, isOverShare func(team string) bool, onClosed func(team string)) *Gate {
	g := &Gate{teamOf: teamOf, isOverShare: isOverShare, onClosed: onClosed, intake: intake.New(cfg), overShare: make(map[string]bool)}
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

// ReadsAtOnce implements callerconn.Gate.
func (g *Gate) ReadsAtOnce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.intake.ReadsAtOnce()
}

// Admit implements callerconn.Gate.
func (g *Gate) Admit(from netip.Addr) (decided func(), taken bool) {
	team := g.teamOf(from)
	g.mu.Lock()
	as, taken := g.intake.Admit(time.Now(), team, g.overShare[team])
	g.mu.Unlock()
	if !taken {
		g.onClosed(team)
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

// Observe records by how much the reading of input lags and whether the router has reached its
// limit of streams. It is to be called several times a second. It reports whether the gate
// started or stopped limiting.
func (g *Gate) Observe(now time.Time, late time.Duration, full bool) (changed bool) {
	g.mu.Lock()
	before := g.intake.Limiting()
	g.intake.Observe(now, late, full)
	limiting := g.intake.Limiting()
	var teams []string
	if limiting && now.Sub(g.checkedAt) >= shareCheckInterval {
		g.checkedAt, teams = now, g.intake.Teams()
	}
	g.mu.Unlock()
	if teams != nil {
		g.checkShares(teams)
	}
	if before != limiting {
		g.room.Broadcast()
	}
	return before != limiting
}

// checkShares updates which teams are over their share.
func (g *Gate) checkShares(teams []string) {
	overShare := make(map[string]bool)
	for _, team := range teams {
		if team != "" && g.isOverShare(team) {
			overShare[team] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.overShare = overShare
}
