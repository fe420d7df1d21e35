package dispatch

import (
	"time"

	"goldcrestport/coordination/health"
)

// avoidFor is how long a request waits for another sidecar than the one at
// which it failed. It is bounded, so that a free one does not idle for ever.
const avoidFor = time.Second

// avoids reports whether the request is not to go to the sidecar now.
func (e *entry) avoids(now time.Time, c *peer) bool {
	return e.avoid == c.id && now.Before(e.avoidUntil)
}

// failed counts a failed attempt and, if asked, places the request again
// within the retry budget.
func (s *State) failed(now time.Time, ev Failed) {
	s.record(now, ev.Sidecar, ev.ID, health.Failure)
	e := s.requests[ev.ID]
	if !ev.Retry || e == nil || e.waiting != nil {
		return
	}
	s.release(e)
	e.avoid, e.avoidUntil = ev.Sidecar, now.Add(avoidFor)
	if !s.retries.take(now) {
		s.refuse(now, s.pool(e.req.Service).queue(s, e.req.Team), e, RetryDenied)
		return
	}
	s.stats.Retries++
	s.placeAgain(now, e)
}

// succeeded counts an answer: it earns a part of a retry.
func (s *State) succeeded(now time.Time, ev Succeeded) {
	s.retries.give(s.cfg.Retry.Ratio)
	s.record(now, ev.Sidecar, ev.ID, health.Success)
}

// record counts a result at the sidecar and ejects or re-admits it.
func (s *State) record(now time.Time, sidecar, id string, r health.Result) {
	c := s.peers[sidecar]
	if c == nil {
		return
	}
	if c.probe == id && id != "" {
		c.probe = ""
		c.health.ProbeEnded(now, r)
		return
	}
	c.health.Record(r)
	p := s.pool(c.service)
	if s.cfg.Policy == PolicyPull && c.health.Suspect() && s.mayEject(p, c) {
		c.health.Eject(now)
		s.stats.Ejections++
		s.forget(p, c)
		s.coverAll(now, p)
	}
}

// mayEject reports whether the sidecar is an outlier in its pool and enough
// others stay. If all fail alike, the fault is not the sidecar's.
func (s *State) mayEject(p *pool, c *peer) bool {
	ejected, others, rates := 0, 0, 0.0
	for _, o := range p.peers {
		switch {
		case o == c || o.leaving:
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
	own, _ := c.health.Rate()
	return rates/float64(others) < own/2
}

// pickProbe returns a request that tries an ejected sidecar, one at a time.
func (s *State) pickProbe(now time.Time, q *queue, c *peer) *entry {
	if !c.health.ProbeDue(now) {
		return nil
	}
	e := s.probeOf(q)
	c.probe = e.req.ID
	c.health.ProbeSent()
	return e
}

// offerProbe returns an ejected sidecar that the new request is to probe, or
// nil. Only an idempotent one probes by an offer.
func (s *State) offerProbe(now time.Time, p *pool, e *entry) *peer {
	if !e.req.Idempotent || e.offers > 0 {
		return nil
	}
	for _, c := range p.peers {
		if !c.leaving && c.free > 0 && !e.avoids(now, c) && c.health.ProbeDue(now) {
			c.probe = e.req.ID
			c.health.ProbeSent()
			return c
		}
	}
	return nil
}

// probeOf prefers an idempotent request, which may be tried again elsewhere.
func (s *State) probeOf(q *queue) *entry {
	el := q.waiting.Front()
	for i := 0; i < s.cfg.Reorder.Depth && el != nil; i++ {
		if e := entryOf(el); e.req.Idempotent {
			return e
		}
		el = el.Next()
	}
	return q.oldest()
}

// endProbe closes a probe that told nothing of the backend server.
func (c *peer) endProbe() {
	c.probe = ""
	c.health.ProbeEnded(time.Time{}, health.NoResult)
}

// probeInterest registers the work that waits longest with each ejected
// sidecar whose probe is due.
func (s *State) probeInterest(now time.Time, p *pool) {
	for _, c := range p.peers {
		if c.leaving || !c.health.ProbeDue(now) {
			continue
		}
		if q := p.longestWait(now); q != nil && q.seen[c.id] == nil {
			s.register(now, q, c)
		}
	}
}

// longestWait returns the queue whose oldest request waits longest, or nil.
func (p *pool) longestWait(now time.Time) *queue {
	var best *queue
	for _, q := range p.active {
		if q.len() > 0 && (best == nil || q.wait(now) > best.wait(now)) {
			best = q
		}
	}
	return best
}
