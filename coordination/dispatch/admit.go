package dispatch

import "time"

// Limits of the Retry-After of a refused request.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfterJitter is the fraction by which a Retry-After is randomly extended,
// so that callers refused at the same time do not retry at the same time.
const retryAfterJitter = 0.25

// arrived sends, queues or refuses a new request.
func (s *State) arrived(now time.Time, r Request) {
	p := s.poolAt(now, r.Service)
	s.arrivals++
	e := &entry{req: r, arrived: now, sequence: s.arrivals}
	switch {
	case e.deadlinePassed(now):
		s.refuse(now, p.queue(s, r.Team), e, DeadlinePassed)
	case s.unserved(now, p):
		s.refuse(now, p.queue(s, r.Team), e, NoSidecar)
	default:
		s.placement.admit(now, p, e)
	}
}

// deadlinePassed reports whether the deadline has been reached.
func (e *entry) deadlinePassed(now time.Time) bool {
	return !e.req.Deadline.IsZero() && !now.Before(e.req.Deadline)
}

// readmit sends, queues or refuses a request whose attempt ended without a
// response.
func (s *State) readmit(now time.Time, e *entry) {
	p := s.poolAt(now, e.req.Service)
	if e.deadlinePassed(now) {
		s.refuse(now, p.queue(s, e.req.Team), e, DeadlinePassed)
		return
	}
	s.placement.readmit(now, p, e)
}

// enqueueNew queues a new request, or refuses it if its deadline would pass in
// the queue or a queue limit is reached. It reports whether the request is
// queued.
func (s *State) enqueueNew(now time.Time, p *pool, e *entry) bool {
	q := p.queue(s, e.req.Team)
	if s.waitExceedsDeadline(now, q, e) {
		s.refuse(now, q, e, WaitTooLong)
		return false
	}
	return s.enqueueOrRefuse(now, p, e)
}

// enqueueOrRefuse queues a request in order of arrival, or refuses it if a queue
// limit is reached. It reports whether the request is queued.
func (s *State) enqueueOrRefuse(now time.Time, p *pool, e *entry) bool {
	q := p.queue(s, e.req.Team)
	if !s.makeRoom(now, q, e) {
		s.refuse(now, q, e, QueueFull)
		return false
	}
	s.enqueue(now, q, e)
	return true
}

// waitExceedsDeadline reports whether the estimated wait at the back of the queue
// exceeds the deadline. An empty queue always accepts a request, so that the
// drain rate is measured again after a stall.
func (s *State) waitExceedsDeadline(now time.Time, q *queue, e *entry) bool {
	if e.req.Deadline.IsZero() || q.len() == 0 {
		return false
	}
	q.drainRate.advance(now, true)
	return q.drainRate.known() && q.drainRate.estimateWait(q.len()+1) > e.req.Deadline.Sub(now)
}

// refuse ends a request that has no attempt in flight.
func (s *State) refuse(now time.Time, q *queue, e *entry, reason RefuseReason) {
	after := s.retryAfter(now, q, e, reason)
	if e.element != nil {
		s.dequeue(now, q.pool, e)
	}
	delete(s.requests, e.req.ID)
	s.stats.Refused[reason]++
	s.emit(Refuse{ID: e.req.ID, Reason: reason, RetryAfter: after})
}

// retryAfter estimates the delay after which a request like this one would be
// served.
func (s *State) retryAfter(now time.Time, q *queue, e *entry, reason RefuseReason) time.Duration {
	q.drainRate.advance(now, q.len() > 0)
	var after time.Duration
	switch reason {
	case NoSidecar:
		// An outage is expected to continue for as long as it has lasted.
		after = now.Sub(q.pool.noSidecarSince)
	case WaitTooLong:
		after = q.drainRate.estimateWait(q.len()+1) - e.req.Deadline.Sub(now)
	case QueueFull:
		// The time until the queue is half empty, so that retries fit.
		after = q.drainRate.estimateWait(q.len()+1) / 2
	default:
		after = q.drainRate.estimateWait(q.len())
	}
	after += time.Duration(retryAfterJitter * s.rng.Float64() * float64(max(after, minRetryAfter)))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// unserved reports whether the pool has had no sidecar for longer than the grace
// period.
func (s *State) unserved(now time.Time, p *pool) bool {
	return !p.noSidecarSince.IsZero() && now.Sub(p.noSidecarSince) > s.cfg.Queues.Grace
}

// refuseUnserved refuses the queued requests of each pool without a sidecar when
// the grace period has passed.
func (s *State) refuseUnserved(now time.Time) {
	for _, p := range s.sortedPools() {
		if !s.unserved(now, p) {
			continue
		}
		for _, q := range p.active {
			for q.len() > 0 {
				s.refuse(now, q, q.oldest(), NoSidecar)
			}
		}
	}
}
