package share

import (
	"math"
	"sort"
	"time"
)

// mostProbes bounds the pulls that one word of waiting work allows at once.
const mostProbes = 64

// waiting is what one router said of one team's work.
type waiting struct {
	// count is how many requests are thought to wait; 1 at least, since the
	// router tells at once when none is left.
	count int
	// probe doubles with each run-down of count, so that a stale count never
	// holds up a long queue.
	probe int
	// spread is the number of sidecars that see the work.
	spread int
	// oldest is when the oldest waiting request arrived, as far as known.
	oldest   time.Time
	inflight int
}

// open reports whether another pull may be sent.
func (w *waiting) open() bool { return w.inflight < w.count }

// took accounts for one request that the router handed over.
func (w *waiting) took(now time.Time) {
	w.oldest = w.oldest.Add(now.Sub(w.oldest) / time.Duration(max(w.count, 1)))
	w.count--
	if w.count < 1 {
		w.probe = min(2*w.probe, mostProbes)
		w.count = w.probe
	}
}

// pull is a pull that was not answered yet.
type pull struct {
	router string
	team   string
	sent   time.Time
	charge float64
}

func (s *State) interest(now time.Time, ev Interest) {
	s.heardFrom(ev.Router)
	a := s.account(ev.Team)
	if ev.Count <= 0 {
		s.drop(a, ev.Router)
		return
	}
	if !a.backlogged() {
		s.raise(a)
	}
	w := a.routers[ev.Router]
	if w == nil {
		w = &waiting{probe: 1, inflight: s.inflight(ev.Router, ev.Team)}
		a.routers[ev.Router] = w
		s.backlogged[a.team] = a
	}
	w.count = ev.Count
	w.oldest = now.Add(-ev.Oldest)
	w.spread = ev.Spread
	s.keepVirtual(a, a.widen)
}

// inflight counts the open pulls at the router for the team.
func (s *State) inflight(router, team string) int {
	n := 0
	for _, p := range s.pulls {
		if p.router == router && p.team == team {
			n++
		}
	}
	return n
}

// heardFrom lifts the bar from a router that shows signs of life.
func (s *State) heardFrom(router string) { delete(s.barred, router) }

func (s *State) routerDown(router string) {
	s.heardFrom(router)
	for _, a := range s.accounts {
		s.drop(a, router)
	}
	for _, id := range s.openPulls() {
		if s.pulls[id].router == router {
			s.takePull(id)
		}
	}
}

// openPulls returns the open pulls in the order they were sent.
func (s *State) openPulls() []uint64 {
	ids := make([]uint64, 0, len(s.pulls))
	for id := range s.pulls {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// takePull forgets an open pull and returns it, or nil if it is not open.
func (s *State) takePull(id uint64) *pull {
	p := s.pulls[id]
	if p == nil {
		return nil
	}
	delete(s.pulls, id)
	a := s.account(p.team)
	a.pending -= p.charge
	if w := a.routers[p.router]; w != nil {
		w.inflight--
	}
	return p
}

// answered closes a pull that the router answered and reports whether it was
// open.
func (s *State) answered(now time.Time, id uint64, filled bool) bool {
	p := s.takePull(id)
	if p == nil {
		return false
	}
	s.heardFrom(p.router)
	s.timing.answered(now.Sub(p.sent))
	if w := s.account(p.team).routers[p.router]; w != nil && filled {
		w.took(now)
	}
	return true
}

// pullEmpty ends a pull for which nothing waited: the router has no more work
// of the team until it says so.
func (s *State) pullEmpty(id uint64) {
	p := s.pulls[id]
	if !s.answered(s.now, id, false) {
		return
	}
	s.stats.Empties++
	s.drop(s.account(p.team), p.router)
}

// pullLost ends a pull that gets no answer. The router is barred until it is
// heard again, so that the slot goes to work that can be had.
func (s *State) pullLost(id uint64) {
	p := s.takePull(id)
	if p == nil {
		return
	}
	s.barred[p.router] = true
}

func (s *State) expirePulls(now time.Time) {
	for _, id := range s.openPulls() {
		if now.Sub(s.pulls[id].sent) >= s.cfg.PullTimeout {
			s.pullLost(id)
		}
	}
}

// free is the number of slots with nothing on the way to them.
func (s *State) free() int {
	return s.slots - len(s.runs) - len(s.ready) - len(s.pulls)
}

// fill pulls for free slots and ahead of them.
func (s *State) fill(now time.Time) {
	if s.closed() || s.cfg.Policy == PolicyPush {
		return
	}
	ahead := s.timing.ahead(s.slots, s.cfg.LookAhead)
	for s.free()+ahead > 0 {
		a := s.choose()
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
	p.charge = s.costs.Estimate(a.team, "", 0)
	s.pulls[s.lastPull] = p
	a.pending += p.charge
	a.routers[router].inflight++
	s.stats.Pulls++
	s.emit(Pull{ID: s.lastPull, Router: router, Team: a.team})
}

// choose returns the backlogged team with the smallest virtual service among
// those that can be pulled. Ties are broken at random, so that sidecars in the
// same state do not all choose the same team.
func (s *State) choose() *account {
	var best *account
	least, ties := math.Inf(1), 0
	for _, team := range s.teams() {
		a := s.accounts[team]
		if !s.pullable(a) {
			continue
		}
		v := s.virtual(a)
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
		s.level = max(s.level, least)
	}
	return best
}

// teams returns the backlogged teams in order, so that the random choices
// depend on the seed alone.
func (s *State) teams() []string {
	teams := make([]string, 0, len(s.backlogged))
	for team := range s.backlogged {
		teams = append(teams, team)
	}
	sort.Strings(teams)
	return teams
}

// pullable reports whether some router has more work than pulls are open.
func (s *State) pullable(a *account) bool {
	for router, w := range a.routers {
		if w.open() && !s.barred[router] {
			return true
		}
	}
	return false
}

// pickRouter returns the router that holds the team's oldest work.
func (s *State) pickRouter(a *account) string {
	best := ""
	for name, w := range a.routers {
		if !w.open() || s.barred[name] {
			continue
		}
		b := a.routers[best]
		if b == nil || w.before(b) || (!b.before(w) && name < best) {
			best = name
		}
	}
	return best
}

// before orders routers by what they would hand over next: each open pull
// takes one of the oldest.
func (w *waiting) before(o *waiting) bool {
	if w.inflight != o.inflight {
		return w.inflight < o.inflight
	}
	return w.oldest.Before(o.oldest)
}
