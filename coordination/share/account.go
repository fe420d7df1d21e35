package share

import (
	"math"
	"time"
)

// account holds one team's state at this sidecar. The cost of its service is in the
// ledger.
type account struct {
	team string
	// pendingCost is the estimated cost of open pulls, and of attempts as far as their
	// real cost has not reached the estimate.
	pendingCost float64
	// offset is a local offset of the virtual service, in cost per share. It is never part
	// of a counter: the offsets of all sidecars would add up.
	offset float64
	// deferred is service by other sidecars that became known late and is not counted yet,
	// in cost per share. It goes to 0 at a bounded rate.
	deferred float64
	// presumed is the presumed cost of the service by sidecars that see the team but have
	// not sent a counter for it yet.
	presumed float64
	spread   int
	routers  map[string]*routerQueue
	// credit is how far the team was behind when its backlog ended at idleSince, in cost
	// per share.
	credit    float64
	idleSince time.Time
	// lastCharged is when the team last had service here. lastSent orders the teams by
	// when their counters were last sent to other sidecars.
	lastCharged time.Time
	lastSent    uint64
}

func (s *State) account(team string) *account {
	a := s.accounts[team]
	if a == nil {
		a = &account{team: team, spread: 1, routers: map[string]*routerQueue{}}
		s.accounts[team] = a
	}
	return a
}

func (s *State) share(team string) float64 {
	if w := s.shares[team]; w > 0 {
		return w
	}
	return s.cfg.DefaultShare
}

// updateSpread sets the spread to the largest number of sidecars that any router reports.
func (a *account) updateSpread() {
	a.spread = 1
	for _, w := range a.routers {
		a.spread = max(a.spread, w.spread)
	}
}

// sidecars returns the number of sidecars that are counted as seeing the team: what
// routers report, raised to the number that has sent counters for it.
func (s *State) sidecars(a *account) float64 {
	_, senders := s.ledger.Others(a.team)
	return float64(max(a.spread, senders+1))
}

// virtualService returns the team's virtual service over the whole pool: the known cost of
// all sidecars, extrapolated by what this one has added since, per share. The estimate of
// what just started here is presumed at the other sidecars as well.
func (s *State) virtualService(a *account) float64 {
	others, _ := s.ledger.Others(a.team)
	pending := s.pendingWeight() * a.pendingCost
	cost := s.ledger.Own(a.team) + others + a.presumed + s.sidecars(a)*pending
	return a.offset - a.deferred + cost/s.share(a.team)
}

// pendingWeight returns the fraction of an estimate that counts as served.
// PolicyPullSettle charges only at the end and has nothing but the estimate until then.
func (s *State) pendingWeight() float64 {
	if s.cfg.Policy == PolicyPullSettle {
		return 1
	}
	return s.cfg.PendingWeight
}

// charge adds the cost of service that the team got here.
func (s *State) charge(a *account, cost float64) {
	silent := s.sidecars(a) - 1 - float64(s.ledger.Tellers(a.team))
	a.presumed += max(0, silent) * cost
	s.ledger.Add(a.team, cost)
	a.lastCharged = s.now
	s.serviceRate.add(cost * s.sidecars(a))
}

// keepVirtualService runs a change that must not alter the team's virtual service.
func (s *State) keepVirtualService(a *account, change func()) {
	before := s.virtualService(a)
	change()
	a.offset += before - s.virtualService(a)
}

// isBacklogged reports whether any router has queued work of the team.
func (a *account) isBacklogged() bool { return len(a.routers) > 0 }

// raise lifts a team that becomes backlogged to the smallest virtual service of the
// backlogged teams, so that it saves up no credit while idle. A team above it stays there.
// A short gap in the backlog wipes out neither a debt nor a credit: what the team was
// behind when its backlog ended decays over DebtMemory.
func (s *State) raise(a *account) {
	gap := s.now.Sub(a.idleSince).Seconds()
	kept := a.credit * math.Exp(-gap/s.cfg.DebtMemory.Seconds())
	a.credit = 0
	if v, to := s.virtualService(a), s.minVirtualService(a)-kept; v < to {
		a.offset += to - v
	}
}

// removeQueue removes a router's queued work of the team.
func (s *State) removeQueue(a *account, router string) {
	if a.routers[router] == nil {
		return
	}
	delete(a.routers, router)
	if !a.isBacklogged() {
		delete(s.backlogged, a.team)
		a.idleSince = s.now
		a.credit = max(0, s.minVirtualService(a)-s.virtualService(a))
	}
}

// minVirtualService returns the smallest virtual service of the backlogged teams except
// the given one, or virtualLevel if there are none.
func (s *State) minVirtualService(except *account) float64 {
	least := math.Inf(1)
	for _, a := range s.backlogged {
		if a != except {
			least = min(least, s.virtualService(a))
		}
	}
	if math.IsInf(least, 1) {
		return s.virtualLevel
	}
	return least
}

// forgiveDebts raises virtualLevel while nothing is queued for this sidecar. All teams could
// use the idle capacity, so what a team took of it is no debt. But only time wipes out a
// debt, not the mere end of a backlog.
func (s *State) forgiveDebts(elapsed time.Duration) {
	if elapsed <= 0 || s.hasBacklog() {
		return
	}
	highest := s.virtualLevel
	for _, a := range s.accounts {
		highest = max(highest, s.virtualService(a))
	}
	s.virtualLevel += (highest - s.virtualLevel) * -math.Expm1(-elapsed.Seconds()/s.cfg.DebtMemory.Seconds())
}

// hasBacklog reports whether any team is backlogged.
func (s *State) hasBacklog() bool { return len(s.backlogged) > 0 }

func (s *State) setShares(shares map[string]float64) {
	before := make(map[*account]float64, len(s.accounts))
	for _, a := range s.accounts {
		before[a] = s.virtualService(a)
	}
	s.shares = shares
	for a, v := range before {
		a.offset += v - s.virtualService(a)
	}
}
