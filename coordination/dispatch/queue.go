package dispatch

import (
	"container/list"
	"time"
)

// queue holds the waiting requests of one team for one service.
type queue struct {
	team string
	pool *pool
	// waiting holds *entry in the order of arrival.
	waiting *list.List
	bytes   int64
	drain   drain
	// order is the team's own order of the pool's sidecars, of which the
	// first ones see its work; it was made for the pool's version.
	order   []*peer
	version int
	seen    map[string]*registration
	emptied time.Time
	// served is the cost sent so far; only PolicyPushFair reads it.
	served float64
}

// queue returns the team's queue, made at first use.
func (p *pool) queue(s *State, team string) *queue {
	q := p.teams[team]
	if q == nil {
		q = &queue{
			team:    team,
			pool:    p,
			waiting: list.New(),
			drain:   newDrain(s.cfg.Queues.DrainWindow),
			version: -1,
			seen:    map[string]*registration{},
		}
		p.teams[team] = q
	}
	return q
}

func (q *queue) len() int { return q.waiting.Len() }

func entryOf(el *list.Element) *entry {
	if el == nil {
		return nil
	}
	return el.Value.(*entry) // only entries are put in
}

func (q *queue) oldest() *entry { return entryOf(q.waiting.Front()) }
func (q *queue) newest() *entry { return entryOf(q.waiting.Back()) }

// wait returns how long the oldest request has waited.
func (q *queue) wait(now time.Time) time.Duration {
	e := q.oldest()
	if e == nil {
		return 0
	}
	return now.Sub(e.arrived)
}

// enqueue puts the entry in its place by arrival. The caller has checked the
// bounds.
func (s *State) enqueue(now time.Time, q *queue, e *entry) {
	q.drain.advance(now, q.len() > 0)
	e.waiting = q.insert(e)
	q.bytes += e.req.Bytes
	s.queued++
	s.bytes += e.req.Bytes
	s.requests[e.req.ID] = e
	s.deadlines.add(e)
	q.pool.activate(q)
}

// insert searches from the end at which the entry belongs: a new one goes to
// the back, a returned one is older than nearly all that wait.
func (q *queue) insert(e *entry) *list.Element {
	if last := q.newest(); last == nil || e.number > last.number {
		return q.waiting.PushBack(e)
	}
	for el := q.waiting.Front(); el != nil; el = el.Next() {
		if e.number < entryOf(el).number {
			return q.waiting.InsertBefore(e, el)
		}
	}
	return q.waiting.PushBack(e)
}

// unqueue takes a waiting entry out of its queue.
func (s *State) unqueue(now time.Time, p *pool, e *entry) {
	q := p.queue(s, e.req.Team)
	q.drain.advance(now, true)
	q.waiting.Remove(e.waiting)
	e.waiting = nil
	q.bytes -= e.req.Bytes
	s.queued--
	s.bytes -= e.req.Bytes
	s.deadlines.remove(e)
	if q.len() == 0 {
		q.emptied = now
	}
}

// fitsTeam reports whether the entry keeps its team within its bounds.
func (s *State) fitsTeam(q *queue, e *entry) bool {
	requests, bytes := s.cfg.Queues.PerTeam, s.cfg.Queues.PerTeamBytes
	if e.req.MaxQueued > 0 {
		requests = e.req.MaxQueued
	}
	if e.req.MaxQueuedBytes > 0 {
		bytes = e.req.MaxQueuedBytes
	}
	return q.len() < requests && q.bytes+e.req.Bytes <= bytes
}

// fitsTotal reports whether the entry keeps the router within its bounds.
func (s *State) fitsTotal(e *entry) bool {
	return s.queued < s.cfg.Queues.Total && s.bytes+e.req.Bytes <= s.cfg.Queues.TotalBytes
}

// usage is the part of the router's bounds that a queue takes up, with so
// many requests and bytes more.
func (s *State) usage(q *queue, requests int, bytes int64) float64 {
	return max(
		float64(q.len()+requests)/float64(s.cfg.Queues.Total),
		float64(q.bytes+bytes)/float64(s.cfg.Queues.TotalBytes),
	)
}

// makeRoom brings the queue to where the entry fits, or reports that it does
// not. A new request never drives out its own team's. A returned one is older
// and drives out the newest. When the router is full, the queue that takes up
// most gives way, so that a team with little waiting is always let in.
func (s *State) makeRoom(now time.Time, q *queue, e *entry) bool {
	for !s.fitsTeam(q, e) {
		if !s.evictYounger(now, q, e) {
			return false
		}
	}
	for !s.fitsTotal(e) {
		largest := s.largest()
		if largest == nil || largest == q {
			if !s.evictYounger(now, q, e) {
				return false
			}
			continue
		}
		if s.usage(largest, 0, 0) <= s.usage(q, 1, e.req.Bytes) {
			return false
		}
		s.refuse(now, largest, largest.newest(), QueueFull)
	}
	return true
}

// evictYounger refuses the newest request of the queue if it is younger than
// the entry.
func (s *State) evictYounger(now time.Time, q *queue, e *entry) bool {
	last := q.newest()
	if last == nil || last.number < e.number {
		return false
	}
	s.refuse(now, q, last, QueueFull)
	return true
}

// largest returns the queue that takes up most of the router's bounds.
func (s *State) largest() *queue {
	var best *queue
	for _, p := range s.sortedPools() {
		for _, q := range p.active {
			if q.len() > 0 && (best == nil || s.usage(q, 0, 0) > s.usage(best, 0, 0)) {
				best = q
			}
		}
	}
	return best
}
