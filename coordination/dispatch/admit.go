package dispatch

import "time"

// Bounds of the hint when a refused caller should come back.
const (
	shortestRetryAfter = time.Second
	longestRetryAfter  = time.Minute
)

// retrySpread is the part of a hint that is random, so that callers refused
// together do not come back together.
const retrySpread = 0.25

// arrive places a new request or refuses it at once.
func (s *State) arrive(now time.Time, r Request) {
	p := s.poolAt(now, r.Service)
	s.arrivals++
	e := &entry{req: r, arrived: now, number: s.arrivals}
	switch {
	case e.late(now):
		s.refuse(now, p.queue(s, r.Team), e, DeadlinePassed)
	case s.unserved(now, p):
		s.refuse(now, p.queue(s, r.Team), e, NoSidecar)
	default:
		s.place.admit(now, p, e)
	}
}

// late reports whether the deadline has come.
func (e *entry) late(now time.Time) bool {
	return !e.req.Deadline.IsZero() && !now.Before(e.req.Deadline)
}

// placeAgain places a request whose attempt ended without an answer.
func (s *State) placeAgain(now time.Time, e *entry) {
	p := s.poolAt(now, e.req.Service)
	if e.late(now) {
		s.refuse(now, p.queue(s, e.req.Team), e, DeadlinePassed)
		return
	}
	s.place.readmit(now, p, e)
}

// wait puts a new request in its queue, or refuses it if it would not be
// served in time or does not fit. It reports whether the request waits.
func (s *State) wait(now time.Time, p *pool, e *entry) bool {
	q := p.queue(s, e.req.Team)
	if s.tooLate(now, q, e) {
		s.refuse(now, q, e, WaitTooLong)
		return false
	}
	return s.waitAgain(now, p, e)
}

// waitAgain puts a request in its place by age, or refuses it if it does not
// fit. It reports whether the request waits.
func (s *State) waitAgain(now time.Time, p *pool, e *entry) bool {
	q := p.queue(s, e.req.Team)
	if !s.makeRoom(now, q, e) {
		s.refuse(now, q, e, QueueFull)
		return false
	}
	s.enqueue(now, q, e)
	return true
}

// tooLate reports whether the estimated wait behind all that waits passes the
// deadline. An empty queue always takes a request, so that the rate is
// measured again after a standstill.
func (s *State) tooLate(now time.Time, q *queue, e *entry) bool {
	if e.req.Deadline.IsZero() || q.len() == 0 {
		return false
	}
	q.drain.advance(now, true)
	return q.drain.known() && q.drain.wait(q.len()+1) > e.req.Deadline.Sub(now)
}

// refuse ends a request that waits or was never placed, at once.
func (s *State) refuse(now time.Time, q *queue, e *entry, reason RefuseReason) {
	after := s.retryAfter(now, q, e, reason)
	if e.waiting != nil {
		s.unqueue(now, q.pool, e)
	}
	delete(s.requests, e.req.ID)
	s.stats.Refused[reason]++
	s.emit(Refuse{ID: e.req.ID, Reason: reason, RetryAfter: after})
}

// retryAfter estimates when a request like this one would be served.
func (s *State) retryAfter(now time.Time, q *queue, e *entry, reason RefuseReason) time.Duration {
	q.drain.advance(now, q.len() > 0)
	var after time.Duration
	switch reason {
	case NoSidecar:
		// An outage is likely to go on for as long as it has lasted.
		after = now.Sub(q.pool.emptySince)
	case WaitTooLong:
		after = q.drain.wait(q.len()+1) - e.req.Deadline.Sub(now)
	case QueueFull:
		// Half drained, so that those who come back find room.
		after = q.drain.wait(q.len()+1) / 2
	default:
		after = q.drain.wait(q.len())
	}
	after += time.Duration(retrySpread * s.rng.Float64() * float64(max(after, shortestRetryAfter)))
	return min(max(after, shortestRetryAfter), longestRetryAfter)
}

// unserved reports whether the pool has had no sidecar for longer than the
// grace.
func (s *State) unserved(now time.Time, p *pool) bool {
	return !p.emptySince.IsZero() && now.Sub(p.emptySince) > s.cfg.Queues.Grace
}

// refuseUnserved gives up what waits in pools that lost all their sidecars.
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
