package share

import (
	"math"
	"time"
)

// account is one team's standing at this sidecar. The cost given is in the
// ledger.
type account struct {
	team string
	// pending is the estimated cost of pulls, and of attempts as far as their
	// real cost has not passed it.
	pending float64
	// lift is a local offset of the virtual service, in cost per share. It
	// never enters a counter, or the lifts of all sidecars would add up.
	lift float64
	// held is service of others that became known late and is not counted
	// yet, in cost per share. It goes to 0 at a bounded rate.
	held float64
	// presumed is the cost that sidecars which see the team, but have not
	// told of it yet, are presumed to have given.
	presumed float64
	spread   int
	routers  map[string]*waiting
	// credit is how far the team was behind when its backlog ended at the time
	// idle, in cost per share.
	credit float64
	idle   time.Time
	// charged is when the team last had service here; told orders the teams
	// by when other sidecars were last told of them.
	charged time.Time
	told    uint64
}

func (s *State) account(team string) *account {
	a := s.accounts[team]
	if a == nil {
		a = &account{team: team, spread: 1, routers: map[string]*waiting{}}
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

// widen takes the largest number of sidecars that any router tells of.
func (a *account) widen() {
	a.spread = 1
	for _, w := range a.routers {
		a.spread = max(a.spread, w.spread)
	}
}

// seen returns the number of sidecars that are counted as seeing the team:
// what routers say, rounded up to those that tell of it.
func (s *State) seen(a *account) float64 {
	_, fresh := s.ledger.Others(a.team)
	return float64(max(a.spread, fresh+1))
}

// virtual returns the team's virtual service over the whole pool: the cost
// known of every sidecar, extrapolated by what this one did since, per share.
// The estimate of what just began here is presumed of the others as well.
func (s *State) virtual(a *account) float64 {
	others, _ := s.ledger.Others(a.team)
	pending := s.pendingWeight() * a.pending
	cost := s.ledger.Own(a.team) + others + a.presumed + s.seen(a)*pending
	return a.lift - a.held + cost/s.share(a.team)
}

// pendingWeight is the part of an estimate that counts as given. A policy that
// charges at the end only has nothing else to go by.
func (s *State) pendingWeight() float64 {
	if s.cfg.Policy == PolicyPullSettle {
		return 1
	}
	return s.cfg.PendingWeight
}

// charge adds cost that was given to the team here.
func (s *State) charge(a *account, cost float64) {
	untold := s.seen(a) - 1 - float64(s.ledger.Tellers(a.team))
	a.presumed += max(0, untold) * cost
	s.ledger.Add(a.team, cost)
	a.charged = s.now
	s.pace.add(cost * s.seen(a))
}

// keepVirtual runs a change that must not move the team's virtual service.
func (s *State) keepVirtual(a *account, change func()) {
	before := s.virtual(a)
	change()
	a.lift += before - s.virtual(a)
}

// backlogged reports whether any router holds work of the team.
func (a *account) backlogged() bool { return len(a.routers) > 0 }

// raise lifts a team that becomes backlogged to the smallest virtual service
// of the backlogged teams, so that no credit is saved up. A team above it
// stays there. Neither side of a debt is wiped out by a short gap: what the
// team was behind when its backlog ended fades over DebtMemory.
func (s *State) raise(a *account) {
	gap := s.now.Sub(a.idle).Seconds()
	kept := a.credit * math.Exp(-gap/s.cfg.DebtMemory.Seconds())
	a.credit = 0
	if v, to := s.virtual(a), s.smallest(a)-kept; v < to {
		a.lift += to - v
	}
}

// drop takes a router's waiting work of the team out.
func (s *State) drop(a *account, router string) {
	if a.routers[router] == nil {
		return
	}
	delete(a.routers, router)
	if !a.backlogged() {
		delete(s.backlogged, a.team)
		a.idle = s.now
		a.credit = max(0, s.smallest(a)-s.virtual(a))
	}
}

// smallest returns the smallest virtual service of the backlogged teams but
// one, or the last level served if there are none.
func (s *State) smallest(but *account) float64 {
	least := math.Inf(1)
	for _, a := range s.backlogged {
		if a != but {
			least = min(least, s.virtual(a))
		}
	}
	if math.IsInf(least, 1) {
		return s.level
	}
	return least
}

// forgive raises the level while nothing waits here. Idle capacity was open to
// all, so what a team took of it is no debt; but only time wipes a debt out,
// not the mere end of a backlog.
func (s *State) forgive(elapsed time.Duration) {
	if elapsed <= 0 || s.backlog() {
		return
	}
	most := s.level
	for _, a := range s.accounts {
		most = max(most, s.virtual(a))
	}
	s.level += (most - s.level) * -math.Expm1(-elapsed.Seconds()/s.cfg.DebtMemory.Seconds())
}

// backlog reports whether any team is backlogged.
func (s *State) backlog() bool { return len(s.backlogged) > 0 }

func (s *State) setShares(shares map[string]float64) {
	before := make(map[*account]float64, len(s.accounts))
	for _, a := range s.accounts {
		before[a] = s.virtual(a)
	}
	s.shares = shares
	for a, v := range before {
		a.lift += v - s.virtual(a)
	}
}
