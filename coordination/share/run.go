package share

import "time"

// run is an attempt that occupies a slot or waits for one.
type run struct {
	attempt uint64
	team    string
	class   string
	// estimate counts in the team's pendingCost until the cost exceeds it.
	estimate float64
	cost     float64
	started  time.Time
}

// pendingCost returns the part of the estimate that the cost has not reached.
func (r *run) pendingCost() float64 { return max(0, r.estimate-r.cost) }

func (s *State) offered(now time.Time, ev Offered) {
	pulled := s.pullAnswered(now, ev.Pull, true)
	if !s.accepts(pulled) {
		s.stats.Declines++
		s.emit(Decline{Attempt: ev.Attempt})
		return
	}
	a := s.account(ev.Team)
	if !pulled && !a.isBacklogged() {
		s.raise(a)
	}
	r := &run{attempt: ev.Attempt, team: ev.Team, class: ev.Class}
	r.estimate = s.costs.Estimate(ev.Team, ev.Class, ev.Estimate)
	a.pendingCost += r.estimate
	s.ready = append(s.ready, r)
}

// accepts reports whether an attempt that arrived is accepted. A pulled one is accepted
// unless the sidecar has stopped new work meanwhile; any other needs a free slot.
func (s *State) accepts(pulled bool) bool {
	switch {
	case s.closed():
		return false
	case s.cfg.Policy == PolicyPush, pulled:
		return true
	}
	return s.free() > 0
}

// progress charges the cost that an attempt added since its last update.
func (s *State) progress(attempt uint64, cost float64) {
	r := s.runs[attempt]
	if r == nil || cost <= r.cost || s.cfg.Policy == PolicyPullSettle {
		return
	}
	s.settle(r, cost)
}

// settle charges the attempt up to the cost, which never decreases.
func (s *State) settle(r *run, cost float64) {
	if cost <= r.cost {
		return
	}
	a := s.account(r.team)
	a.pendingCost -= r.pendingCost()
	s.charge(a, cost-r.cost)
	r.cost = cost
	a.pendingCost += r.pendingCost()
}

func (s *State) ended(now time.Time, ev Ended) {
	if r := s.runs[ev.Attempt]; r != nil {
		delete(s.runs, ev.Attempt)
		s.settle(r, ev.Cost)
		s.account(r.team).pendingCost -= r.pendingCost()
		if ev.Completed {
			s.costs.Observe(r.team, r.class, ev.Cost)
			s.timing.observeRun(now.Sub(r.started))
		}
		return
	}
	for i, r := range s.ready {
		if r.attempt == ev.Attempt {
			s.account(r.team).pendingCost -= r.pendingCost()
			s.ready = append(s.ready[:i], s.ready[i+1:]...)
			return
		}
	}
}

// declineReady declines the attempts that wait for a slot once no new work is accepted, so
// that they return to their routers' queues.
func (s *State) declineReady() {
	if !s.closed() {
		return
	}
	for _, r := range s.ready {
		s.account(r.team).pendingCost -= r.pendingCost()
		s.stats.Declines++
		s.emit(Decline{Attempt: r.attempt})
	}
	s.ready = nil
}

// startReady starts waiting attempts while slots are free.
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

// nextReady returns the index of the attempt whose team has the smallest virtual service,
// or of the first one if routers push.
func (s *State) nextReady() int {
	if s.cfg.Policy == PolicyPush {
		return 0
	}
	best, least := 0, 0.0
	for i, r := range s.ready {
		if v := s.virtualService(s.account(r.team)); i == 0 || v < least {
			best, least = i, v
		}
	}
	return best
}
