package share

import (
	"math"
	"sort"
	"time"
)

// maxAssumed limits the queue length that is assumed after the reported one is used up,
// and so the concurrent pulls that one message allows.
const maxAssumed = 64

// routerQueue is what one router reported about one team's queued work.
type routerQueue struct {
	// count is the number of requests that are presumed to be queued. It is at least 1,
	// since the router reports an empty queue at once.
	count int
	// assumed doubles each time that count is used up, so that a stale count never delays
	// a long queue.
	assumed int
	// spread is the number of sidecars that see the work.
	spread int
	// oldest is when the oldest queued request arrived, as far as known.
	oldest   time.Time
	inFlight int
}

// allowsPull reports whether another pull may be sent.
func (q *routerQueue) allowsPull() bool { return q.inFlight < q.count }

// removeOne accounts for one request that the router handed over.
func (q *routerQueue) removeOne(now time.Time) {
	q.oldest = q.oldest.Add(now.Sub(q.oldest) / time.Duration(max(q.count, 1)))
	q.count--
	if q.count < 1 {
		q.assumed = min(2*q.assumed, maxAssumed)
		q.count = q.assumed
	}
}

// pull is a pull that has not been answered yet.
type pull struct {
	router   string
	team     string
	sent     time.Time
	estimate float64
}

func (s *State) interest(now time.Time, ev Interest) {
	s.markResponsive(ev.Router)
	a := s.account(ev.Team)
	if ev.Count <= 0 {
		s.removeQueue(a, ev.Router)
		return
	}
	if !a.isBacklogged() {
		s.raise(a)
	}
	q := a.routers[ev.Router]
	if q == nil {
		q = &routerQueue{assumed: 1, inFlight: s.countInFlight(ev.Router, ev.Team)}
		a.routers[ev.Router] = q
		s.backlogged[a.team] = a
	}
	q.count = ev.Count
	q.oldest = now.Add(-ev.Oldest)
	q.spread = ev.Spread
	s.keepVirtualService(a, a.updateSpread)
}

// countInFlight returns the number of open pulls at the router for the team.
func (s *State) countInFlight(router, team string) int {
	n := 0
	for _, p := range s.pulls {
		if p.router == router && p.team == team {
			n++
		}
	}
	return n
}

// markResponsive allows pulls from a router again that sent a message.
func (s *State) markResponsive(router string) { delete(s.unresponsive, router) }

func (s *State) routerDown(router string) {
	s.markResponsive(router)
	for _, a := range s.accounts {
		s.removeQueue(a, router)
	}
	for _, id := range s.openPulls() {
		if s.pulls[id].router == router {
			s.removePull(id)
		}
	}
}

// openPulls returns the open pulls in the order in which they were sent.
func (s *State) openPulls() []uint64 {
	ids := make([]uint64, 0, len(s.pulls))
	for id := range s.pulls {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// removePull removes an open pull and returns it, or nil if it is not open.
func (s *State) removePull(id uint64) *pull {
	p := s.pulls[id]
	if p == nil {
		return nil
	}
	delete(s.pulls, id)
	a := s.account(p.team)
	a.pendingCost -= p.estimate
	if q := a.routers[p.router]; q != nil {
		q.inFlight--
	}
	return p
}

// pullAnswered closes a pull that the router answered and reports whether it was open.
func (s *State) pullAnswered(now time.Time, id uint64, filled bool) bool {
	p := s.removePull(id)
	if p == nil {
		return false
	}
	s.markResponsive(p.router)
	s.timing.observeRoundTrip(now.Sub(p.sent))
	if q := s.account(p.team).routers[p.router]; q != nil && filled {
		q.removeOne(now)
	}
	return true
}

// pullEmpty ends a pull that found no request: the router has no more work of the team
// until it sends an Interest.
func (s *State) pullEmpty(id uint64) {
	p := s.pulls[id]
	if !s.pullAnswered(s.now, id, false) {
		return
	}
	s.stats.Empties++
	s.removeQueue(s.account(p.team), p.router)
}

// pullLost ends a pull that gets no answer. The router gets no more pulls until it sends a
// message, so that the slot goes to work that can be obtained.
func (s *State) pullLost(id uint64) {
	p := s.removePull(id)
	if p == nil {
		return
	}
	s.unresponsive[p.router] = true
}

func (s *State) expirePulls(now time.Time) {
	for _, id := range s.openPulls() {
		if now.Sub(s.pulls[id].sent) >= s.cfg.PullTimeout {
			s.pullLost(id)
		}
	}
}

// free returns the number of slots without an attempt or an open pull.
func (s *State) free() int {
	return s.slots - len(s.runs) - len(s.ready) - len(s.pulls)
}

// sendPulls pulls for free slots and ahead of them.
func (s *State) sendPulls(now time.Time) {
	if s.closed() || s.cfg.Policy == PolicyPush {
		return
	}
	lookAhead := s.timing.lookAhead(s.slots, s.cfg.LookAhead)
	for s.free()+lookAhead > 0 {
		a := s.chooseTeam()
		if a == nil {
			return
		}
		s.pull(now, a)
	}
}

func (s *State) pull(now time.Time, a *account) {
	router := s.pickRouter(a)
	s.lastPull++
	p := &pull{router: router, team: a.team, sent: now}
	p.estimate = s.costs.Estimate(a.team, "", 0)
	s.pulls[s.lastPull] = p
	a.pendingCost += p.estimate
	a.routers[router].inFlight++
	s.stats.Pulls++
	s.emit(Pull{ID: s.lastPull, Router: router, Team: a.team})
}

// chooseTeam returns the backlogged team with the smallest virtual service among those
// that can be pulled. Ties are broken at random, so that sidecars in the same state do not
// all choose the same team.
func (s *State) chooseTeam() *account {
	var best *account
	least, ties := math.Inf(1), 0
	for _, team := range s.backloggedTeams() {
		a := s.accounts[team]
		if !s.canPull(a) {
			continue
		}
		v := s.virtualService(a)
		if v > least {
			continue
		}
		if v < least {
			least, ties = v, 0
		}
		ties++
		if ties == 1 || s.rng.IntN(ties) == 0 {
			best = a
		}
	}
	if best != nil {
		s.virtualLevel = max(s.virtualLevel, least)
	}
	return best
}

// backloggedTeams returns the backlogged teams in sorted order, so that the random choices
// depend on the seed alone.
func (s *State) backloggedTeams() []string {
	teams := make([]string, 0, len(s.backlogged))
	for team := range s.backlogged {
		teams = append(teams, team)
	}
	sort.Strings(teams)
	return teams
}

// canPull reports whether some router has more queued work of the team than open pulls.
func (s *State) canPull(a *account) bool {
	for router, q := range a.routers {
		if q.allowsPull() && !s.unresponsive[router] {
			return true
		}
	}
	return false
}

// pickRouter returns the router with the team's oldest work.
func (s *State) pickRouter(a *account) string {
	best := ""
	for name, q := range a.routers {
		if !q.allowsPull() || s.unresponsive[name] {
			continue
		}
		b := a.routers[best]
		if b == nil || q.before(b) || (!b.before(q) && name < best) {
			best = name
		}
	}
	return best
}

// before orders routers by the age of what they would hand over next: each open pull takes
// one of the oldest requests.
func (q *routerQueue) before(other *routerQueue) bool {
	if q.inFlight != other.inFlight {
		return q.inFlight < other.inFlight
	}
	return q.oldest.Before(other.oldest)
}
