package dispatch

import (
	"container/list"
	"slices"
	"time"
)

// pull is the placement of PolicyPull. It offers a request to a sidecar that is
// known to have free slots, or else queues it for sidecars to pull.
type pull struct{ s *State }

func (d pull) admit(now time.Time, p *pool, e *entry) {
	if p.queue(d.s, e.req.Team).len() == 0 && d.s.offer(now, p, e) {
		return
	}
	if d.s.enqueueNew(now, p, e) {
		d.s.registerGrowth(now, p.queue(d.s, e.req.Team))
	}
}

func (d pull) readmit(now time.Time, p *pool, e *entry) {
	if p.queue(d.s, e.req.Team).len() == 0 && d.s.offer(now, p, e) {
		return
	}
	if d.s.enqueueOrRefuse(now, p, e) {
		d.s.registerGrowth(now, p.queue(d.s, e.req.Team))
	}
}

// capacityChanged does nothing, because sidecars with free slots pull.
func (d pull) capacityChanged(time.Time, *pool) {}

// offer sends the request to a sidecar that is known to have free slots, and
// reports whether there is one.
func (s *State) offer(now time.Time, p *pool, e *entry) bool {
	if e.offers >= s.cfg.MaxOffers {
		return false
	}
	sc := s.offerProbe(now, p, e)
	if sc == nil {
		sc = s.sidecarWithPrefix(now, p, e)
	}
	if sc == nil {
		sc = s.drawFree(now, p, e)
	}
	if sc == nil {
		return false
	}
	e.offers++
	sc.free--
	s.stats.Offers++
	s.requests[e.req.ID] = e
	s.send(e, sc, 0)
	return true
}

// drawFree returns a random sidecar, weighted by the number of free slots so
// that routers do not all choose the same one, or nil if none has free slots.
func (s *State) drawFree(now time.Time, p *pool, e *entry) *sidecar {
	total := 0
	for _, sc := range p.sidecars {
		if sc.acceptsOffer(now, e) {
			total += sc.free
		}
	}
	if total == 0 {
		return nil
	}
	n := s.rng.IntN(total)
	for _, sc := range p.sidecars {
		if !sc.acceptsOffer(now, e) {
			continue
		}
		if n -= sc.free; n < 0 {
			return sc
		}
	}
	return nil
}

// acceptsOffer reports whether the request may be offered to the sidecar.
func (sc *sidecar) acceptsOffer(now time.Time, e *entry) bool {
	return sc.available() && !sc.selfEjected && sc.free > 0 && !e.avoids(now, sc)
}

// declined readmits a request. A declined attempt is known not to have run, so a
// request may be declined any number of times.
func (s *State) declined(now time.Time, ev Declined) {
	e := s.requests[ev.ID]
	inFlight := e != nil && e.element == nil && e.sidecar == ev.Sidecar
	if inFlight {
		s.release(e)
	}
	if sc := s.sidecars[ev.Sidecar]; sc != nil {
		sc.free, sc.reportedFree = ev.Free, ev.Free
	}
	if !inFlight {
		return
	}
	s.stats.Declines++
	s.readmit(now, e)
}

// pulled answers a pull with a request of the team, or with Empty.
func (s *State) pulled(now time.Time, ev Pulled) {
	sc := s.sidecars[ev.Sidecar]
	if sc == nil {
		return
	}
	q := s.pool(sc.service).teams[ev.Team]
	e := s.pick(now, q, sc, ev.Prefixes)
	if e == nil {
		s.stats.Empties++
		s.emit(Empty{Sidecar: ev.Sidecar, Pull: ev.Pull})
		if q != nil {
			delete(q.registrations, sc.id)
		}
		return
	}
	s.stats.Pulls++
	s.dequeue(now, q.pool, e)
	q.drainRate.recordDeparture()
	s.send(e, sc, ev.Pull)
}

// pick returns the queued request to send to the sidecar, or nil.
func (s *State) pick(now time.Time, q *queue, sc *sidecar, prefixes []uint64) *entry {
	if q == nil || q.len() == 0 {
		return nil
	}
	if sc.health.Ejected() {
		return s.pickProbe(now, q, sc)
	}
	front := s.firstEligible(now, q, sc)
	if front == nil {
		return nil
	}
	if e := s.pickCached(now, q, sc, front, prefixes); e != nil {
		return e
	}
	return front
}

// firstEligible returns the first request that may be sent to the sidecar, or
// nil. A request that failed there is skipped unless no other sidecar is
// available.
func (s *State) firstEligible(now time.Time, q *queue, sc *sidecar) *entry {
	for el := q.entries.Front(); el != nil; el = el.Next() {
		if e := entryOf(el); !e.avoids(now, sc) || q.pool.availableSidecars() < 2 {
			return e
		}
	}
	return nil
}

// pickCached returns the first request within Reorder.Depth whose prefix the
// backend server has likely cached, or nil if there is none or the front request
// is to be sent. It does not exceed Reorder.MaxAge and Reorder.MaxOvertaken.
func (s *State) pickCached(now time.Time, q *queue, sc *sidecar, front *entry, prefixes []uint64) *entry {
	if len(prefixes) == 0 || slices.Contains(prefixes, front.req.Prefix) && front.req.Prefix != 0 {
		return nil
	}
	r := s.cfg.Reorder
	el := front.element
	for i := 0; i < r.Depth && el != nil; i++ {
		e := entryOf(el)
		if e.arrived.Sub(front.arrived) > r.MaxAge {
			return nil
		}
		if e.req.Prefix != 0 && !e.avoids(now, sc) && slices.Contains(prefixes, e.req.Prefix) {
			overtake(front.element, el)
			s.stats.Reordered++
			return e
		}
		if e.overtaken >= r.MaxOvertaken {
			return nil
		}
		el = el.Next()
	}
	return nil
}

// overtake increments the overtaken count of each entry from one position up to
// another, exclusive.
func overtake(from, to *list.Element) {
	for el := from; el != to; el = el.Next() {
		entryOf(el).overtaken++
	}
}
