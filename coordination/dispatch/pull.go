package dispatch

import (
	"container/list"
	"slices"
	"time"
)

// pull is the placement of PolicyPull: an offer if room is known, else the
// queue, from which sidecars pull.
type pull struct{ s *State }

func (d pull) admit(now time.Time, p *pool, e *entry) {
	if p.queue(d.s, e.req.Team).len() == 0 && d.s.offer(now, p, e) {
		return
	}
	if d.s.wait(now, p, e) {
		d.s.announce(now, p.queue(d.s, e.req.Team))
	}
}

func (d pull) readmit(now time.Time, p *pool, e *entry) {
	if p.queue(d.s, e.req.Team).len() == 0 && d.s.offer(now, p, e) {
		return
	}
	if d.s.waitAgain(now, p, e) {
		d.s.announce(now, p.queue(d.s, e.req.Team))
	}
}

// roomChanged does nothing: sidecars with room pull.
func (d pull) roomChanged(time.Time, *pool) {}

// offer sends the request to a sidecar that is known to have room, if one is.
func (s *State) offer(now time.Time, p *pool, e *entry) bool {
	if e.offers >= s.cfg.MaxOffers {
		return false
	}
	c := s.offerProbe(now, p, e)
	if c == nil {
		c = s.warm(now, p, e)
	}
	if c == nil {
		c = s.drawFree(now, p, e)
	}
	if c == nil {
		return false
	}
	e.offers++
	c.free--
	s.stats.Offers++
	s.requests[e.req.ID] = e
	s.send(e, c, 0)
	return true
}

// drawFree draws a sidecar with room, each with a chance in proportion to its
// room, so that routers do not all choose the same one.
func (s *State) drawFree(now time.Time, p *pool, e *entry) *peer {
	total := 0
	for _, c := range p.peers {
		if c.takesOffers(now, e) {
			total += c.free
		}
	}
	if total == 0 {
		return nil
	}
	n := s.rng.IntN(total)
	for _, c := range p.peers {
		if !c.takesOffers(now, e) {
			continue
		}
		if n -= c.free; n < 0 {
			return c
		}
	}
	return nil
}

func (c *peer) takesOffers(now time.Time, e *entry) bool {
	return c.open() && !c.selfEjected && c.free > 0 && !e.avoids(now, c)
}

// declined places the request again. A decline is proof that it did not run,
// so it may happen any number of times.
func (s *State) declined(now time.Time, ev Declined) {
	e := s.requests[ev.ID]
	held := e != nil && e.waiting == nil && e.sidecar == ev.Sidecar
	if held {
		s.release(e)
	}
	if c := s.peers[ev.Sidecar]; c != nil {
		c.free, c.reported = ev.Free, ev.Free
	}
	if !held {
		return
	}
	s.stats.Declines++
	s.placeAgain(now, e)
}

// pulled answers a sidecar's pull with a request of the team, or with Empty.
func (s *State) pulled(now time.Time, ev Pulled) {
	c := s.peers[ev.Sidecar]
	if c == nil {
		return
	}
	q := s.pool(c.service).teams[ev.Team]
	e := s.pick(now, q, c, ev.Prefixes)
	if e == nil {
		s.stats.Empties++
		s.emit(Empty{Sidecar: ev.Sidecar, Pull: ev.Pull})
		if q != nil {
			delete(q.seen, c.id)
		}
		return
	}
	s.stats.Pulls++
	s.unqueue(now, q.pool, e)
	q.drain.departed()
	s.send(e, c, ev.Pull)
}

// pick chooses the request of the queue that the sidecar gets, or nil.
func (s *State) pick(now time.Time, q *queue, c *peer, prefixes []uint64) *entry {
	if q == nil || q.len() == 0 {
		return nil
	}
	if c.health.Ejected() {
		return s.pickProbe(now, q, c)
	}
	front := s.firstFor(now, q, c)
	if front == nil {
		return nil
	}
	if e := s.pickCached(now, q, c, front, prefixes); e != nil {
		return e
	}
	return front
}

// firstFor returns the first request that the sidecar may get: not one that
// failed there, unless no other sidecar takes work.
func (s *State) firstFor(now time.Time, q *queue, c *peer) *entry {
	for el := q.waiting.Front(); el != nil; el = el.Next() {
		if e := entryOf(el); !e.avoids(now, c) || q.pool.openPeers() < 2 {
			return e
		}
	}
	return nil
}

// pickCached returns a request among the first few whose prefix the backend
// server served last. Nobody is overtaken too often or by one much younger.
func (s *State) pickCached(now time.Time, q *queue, c *peer, front *entry, prefixes []uint64) *entry {
	if len(prefixes) == 0 || slices.Contains(prefixes, front.req.Prefix) && front.req.Prefix != 0 {
		return nil
	}
	r := s.cfg.Reorder
	el := front.waiting
	for i := 0; i < r.Depth && el != nil; i++ {
		e := entryOf(el)
		if e.arrived.Sub(front.arrived) > r.MaxAge {
			return nil
		}
		if e.req.Prefix != 0 && !e.avoids(now, c) && slices.Contains(prefixes, e.req.Prefix) {
			overtake(front.waiting, el)
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

// overtake counts that the requests from one place up to another are passed.
func overtake(from, to *list.Element) {
	for el := from; el != to; el = el.Next() {
		entryOf(el).overtaken++
	}
}
