package share

import "time"

// run is an attempt that holds a slot or waits for one.
type run struct {
	attempt uint64
	team    string
	class   string
	// estimate is pending in the team's account until the cost passes it.
	estimate float64
	cost     float64
	started  time.Time
}

// pending is the part of the estimate that the cost has not reached.
func (r *run) pending() float64 { return max(0, r.estimate-r.cost) }

func (s *State) offered(now time.Time, ev Offered) {
	asked := s.answered(now, ev.Pull, true)
	if !s.accepts(asked) {
		s.stats.Declines++
		s.emit(Decline{Attempt: ev.Attempt})
		return
	}
	a := s.account(ev.Team)
	if !asked && !a.backlogged() {
		s.raise(a)
	}
	r := &run{attempt: ev.Attempt, team: ev.Team, class: ev.Class}
	r.estimate = s.costs.Estimate(ev.Team, ev.Class, ev.Estimate)
	a.pending += r.estimate
	s.ready = append(s.ready, r)
}

// accepts reports whether an attempt that arrived is kept. What was pulled is
// kept unless the sidecar closed meanwhile; the rest needs a free slot.
func (s *State) accepts(asked bool) bool {
	switch {
	case s.closed():
		return false
	case s.cfg.Policy == PolicyPush, asked:
		return true
	}
	return s.free() > 0
}

// progress charges what an attempt cost since it was last looked at.
func (s *State) progress(attempt uint64, cost float64) {
	r := s.runs[attempt]
	if r == nil || cost <= r.cost || s.cfg.Policy == PolicyPullSettle {
		return
	}
	s.settle(r, cost)
}

// settle charges the attempt up to the cost, which never falls.
func (s *State) settle(r *run, cost float64) {
	if cost <= r.cost {
		return
	}
	a := s.account(r.team)
	a.pending -= r.pending()
	s.charge(a, cost-r.cost)
	r.cost = cost
	a.pending += r.pending()
}

func (s *State) ended(now time.Time, ev Ended) {
	if r := s.runs[ev.Attempt]; r != nil {
		delete(s.runs, ev.Attempt)
		s.settle(r, ev.Cost)
		s.account(r.team).pending -= r.pending()
		if ev.Whole {
			s.costs.Observe(r.team, r.class, ev.Cost)
			s.timing.ran(now.Sub(r.started))
		}
		return
	}
	for i, r := range s.ready {
		if r.attempt == ev.Attempt {
			s.account(r.team).pending -= r.pending()
			s.ready = append(s.ready[:i], s.ready[i+1:]...)
			return
		}
	}
}

// declineReady turns away what waits for a slot once no new work is taken, so
// that it goes back to its router's queue.
func (s *State) declineReady() {
	if !s.closed() {
		return
	}
	for _, r := range s.ready {
		s.account(r.team).pending -= r.pending()
		s.stats.Declines++
		s.emit(Decline{Attempt: r.attempt})
	}
	s.ready = nil
}

// startReady starts attempts that are here while slots are free.
func (s *State) startReady(now time.Time) {
	for len(s.ready) > 0 && len(s.runs) < s.slots {
		i := s.nextReady()
		r := s.ready[i]
		s.ready = append(s.ready[:i], s.ready[i+1:]...)
		r.started = now
		s.runs[r.attempt] = r
		s.stats.Starts++
		s.emit(Start{Attempt: r.attempt})
	}
}

// nextReady returns the attempt whose team has the smallest virtual service,
// or the first one if routers push.
func (s *State) nextReady() int {
	if s.cfg.Policy == PolicyPush {
		return 0
	}
	best, least := 0, 0.0
	for i, r := range s.ready {
		if v := s.virtual(s.account(r.team)); i == 0 || v < least {
			best, least = i, v
		}
	}
	return best
}
