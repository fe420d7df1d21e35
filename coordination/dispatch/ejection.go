package dispatch

import (
	"time"

	"goldcrestport/coordination/health"
)

// avoidFor is how long a failed request avoids the sidecar at which it failed.
// It is limited so that a sidecar with free slots does not stay idle while the
// request is queued.
const avoidFor = time.Second

// avoids reports whether the request must not be sent to the sidecar now.
func (e *entry) avoids(now time.Time, sc *sidecar) bool {
	return e.avoid == sc.id && now.Before(e.avoidUntil)
}

// failed records a failed attempt and, if a retry is requested, readmits the
// request if the retry budget allows it.
func (s *State) failed(now time.Time, ev Failed) {
	s.recordResult(now, ev.Sidecar, ev.ID, health.Failure)
	e := s.requests[ev.ID]
	if !ev.Retry || e == nil || e.element != nil {
		return
	}
	s.release(e)
	e.avoid, e.avoidUntil = ev.Sidecar, now.Add(avoidFor)
	if !s.retryBudget.take(now) {
		s.refuse(now, s.pool(e.req.Service).queue(s, e.req.Team), e, RetryDenied)
		return
	}
	s.stats.Retries++
	s.readmit(now, e)
}

// succeeded records a successful attempt and adds Retry.Ratio to the retry
// budget.
func (s *State) succeeded(now time.Time, ev Succeeded) {
	s.retryBudget.add(s.cfg.Retry.Ratio)
	s.recordResult(now, ev.Sidecar, ev.ID, health.Success)
}

// recordResult records the result of an attempt at the sidecar, and ejects or
// re-admits the sidecar accordingly.
func (s *State) recordResult(now time.Time, sidecar, id string, r health.Result) {
	sc := s.sidecars[sidecar]
	if sc == nil {
		return
	}
	if sc.probeID == id && id != "" {
		sc.probeID = ""
		sc.health.ProbeEnded(now, r)
		return
	}
	sc.health.Record(r)
	p := s.pool(sc.service)
	if s.cfg.Policy == PolicyPull && sc.health.Suspect() && s.mayEject(p, sc) {
		sc.health.Eject(now)
		s.stats.Ejections++
		s.withdrawAll(p, sc)
		s.coverPool(now, p)
	}
}

// mayEject reports whether the sidecar is an outlier in its pool and enough other
// sidecars remain. If all fail at a similar rate, the cause is not this sidecar.
func (s *State) mayEject(p *pool, sc *sidecar) bool {
	ejected, others, rates := 0, 0, 0.0
	for _, o := range p.sidecars {
		switch {
		case o == sc || o.draining:
		case o.health.Ejected():
			ejected++
		default:
			rate, _ := o.health.Rate()
			others++
			rates += rate
		}
	}
	if others == 0 || float64(ejected+1) > s.cfg.MaxEjected*float64(ejected+others+1) {
		return false
	}
	own, _ := sc.health.Rate()
	return rates/float64(others) < own/2
}

// pickProbe returns a queued request to send to an ejected sidecar as a probe,
// or nil if no probe is due. Only one probe is in flight at a time.
func (s *State) pickProbe(now time.Time, q *queue, sc *sidecar) *entry {
	if !sc.health.ProbeDue(now) {
		return nil
	}
	e := s.chooseProbe(q)
	sc.probeID = e.req.ID
	sc.health.ProbeSent()
	return e
}

// offerProbe returns an ejected sidecar to which the new request is offered as a
// probe, or nil. Only idempotent requests are offered as probes.
func (s *State) offerProbe(now time.Time, p *pool, e *entry) *sidecar {
	if !e.req.Idempotent || e.offers > 0 {
		return nil
	}
	for _, sc := range p.sidecars {
		if !sc.draining && sc.free > 0 && !e.avoids(now, sc) && sc.health.ProbeDue(now) {
			sc.probeID = e.req.ID
			sc.health.ProbeSent()
			return sc
		}
	}
	return nil
}

// chooseProbe returns the queued request to use as a probe. It prefers an
// idempotent one within Reorder.Depth, which can be retried elsewhere.
func (s *State) chooseProbe(q *queue) *entry {
	el := q.entries.Front()
	for i := 0; i < s.cfg.Reorder.Depth && el != nil; i++ {
		if e := entryOf(el); e.req.Idempotent {
			return e
		}
		el = el.Next()
	}
	return q.oldest()
}

// abandonProbe ends a probe that gave no result about the backend server.
func (sc *sidecar) abandonProbe() {
	sc.probeID = ""
	sc.health.ProbeEnded(time.Time{}, health.NoResult)
}

// registerProbes registers the queue that has waited longest with each ejected
// sidecar whose probe is due.
func (s *State) registerProbes(now time.Time, p *pool) {
	for _, sc := range p.sidecars {
		if sc.draining || !sc.health.ProbeDue(now) {
			continue
		}
		if q := p.longestWait(now); q != nil && q.registrations[sc.id] == nil {
			s.register(now, q, sc)
		}
	}
}

// longestWait returns the queue whose oldest request waits longest, or nil.
func (p *pool) longestWait(now time.Time) *queue {
	var best *queue
	for _, q := range p.active {
		if q.len() > 0 && (best == nil || q.oldestWait(now) > best.oldestWait(now)) {
			best = q
		}
	}
	return best
}
