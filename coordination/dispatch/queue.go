package dispatch

import (
	"container/list"
	"time"
)

// queue holds the queued requests of one team for one service.
type queue struct {
	team string
	pool *pool
	// entries holds *entry values in order of arrival.
	entries   *list.List
	bytes     int64
	drainRate drainRate
	// order is the team's ranking of the pool's sidecars. The team's work is
	// registered with the first ones. It was computed for the pool's version.
	order   []*sidecar
	version int
	// registrations holds what was last sent to each sidecar, by its ID.
	registrations map[string]*sentRegistration
	// emptySince is when the queue last became empty.
	emptySince time.Time
	// servedCost is the total cost sent so far. Only PolicyPushFair uses it.
	servedCost float64
}

// queue returns the team's queue and creates it on first use.
func (p *pool) queue(s *State, team string) *queue {
	q := p.teams[team]
	if q == nil {
		q = &queue{
			team:          team,
			pool:          p,
			entries:       list.New(),
			drainRate:     newDrainRate(s.cfg.Queues.DrainWindow),
			version:       -1,
			registrations: map[string]*sentRegistration{},
		}
		p.teams[team] = q
	}
	return q
}

func (q *queue) len() int { return q.entries.Len() }

func entryOf(el *list.Element) *entry {
	if el == nil {
		return nil
	}
	return el.Value.(*entry) // the list contains only entries
}

func (q *queue) oldest() *entry { return entryOf(q.entries.Front()) }
func (q *queue) newest() *entry { return entryOf(q.entries.Back()) }

// oldestWait returns how long the oldest request has waited.
func (q *queue) oldestWait(now time.Time) time.Duration {
	e := q.oldest()
	if e == nil {
		return 0
	}
	return now.Sub(e.arrived)
}

// enqueue inserts the entry in order of arrival. The caller has checked the
// limits.
func (s *State) enqueue(now time.Time, q *queue, e *entry) {
	q.drainRate.advance(now, q.len() > 0)
	e.element = q.insert(e)
	q.bytes += e.req.Bytes
	s.queued++
	s.queuedBytes += e.req.Bytes
	s.requests[e.req.ID] = e
	s.deadlines.add(e)
	q.pool.activate(q)
}

// insert adds the entry in order of arrival. A new entry goes to the back. A
// readmitted entry is older than nearly all others, so the search for its
// position starts at the front.
func (q *queue) insert(e *entry) *list.Element {
	if last := q.newest(); last == nil || e.sequence > last.sequence {
		return q.entries.PushBack(e)
	}
	for el := q.entries.Front(); el != nil; el = el.Next() {
		if e.sequence < entryOf(el).sequence {
			return q.entries.InsertBefore(e, el)
		}
	}
	return q.entries.PushBack(e)
}

// dequeue removes a queued entry from its queue.
func (s *State) dequeue(now time.Time, p *pool, e *entry) {
	q := p.queue(s, e.req.Team)
	q.drainRate.advance(now, true)
	q.entries.Remove(e.element)
	e.element = nil
	q.bytes -= e.req.Bytes
	s.queued--
	s.queuedBytes -= e.req.Bytes
	s.deadlines.remove(e)
	if q.len() == 0 {
		q.emptySince = now
	}
}

// fitsTeam reports whether the entry can be queued within its team's limits.
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

// fitsTotal reports whether the entry can be queued within the router's limits.
func (s *State) fitsTotal(e *entry) bool {
	return s.queued < s.cfg.Queues.Total && s.queuedBytes+e.req.Bytes <= s.cfg.Queues.TotalBytes
}

// usage returns the fraction of the router's limits that the queue would use
// with the given number of additional requests and bytes.
func (s *State) usage(q *queue, requests int, bytes int64) float64 {
	return max(
		float64(q.len()+requests)/float64(s.cfg.Queues.Total),
		float64(q.bytes+bytes)/float64(s.cfg.Queues.TotalBytes),
	)
}

// makeRoom refuses queued requests until the entry fits, and reports whether it
// does. A new request never evicts a request of its own team. A readmitted
// request is older and evicts the newest one. When the router's limits are
// reached, the newest request of the queue with the highest usage is evicted, so
// that a team with few queued requests is always admitted.
func (s *State) makeRoom(now time.Time, q *queue, e *entry) bool {
	for !s.fitsTeam(q, e) {
		if !s.evictYounger(now, q, e) {
			return false
		}
	}
	for !s.fitsTotal(e) {
		largest := s.largestQueue()
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
	if last == nil || last.sequence < e.sequence {
		return false
	}
	s.refuse(now, q, last, QueueFull)
	return true
}

// largestQueue returns the queue with the highest usage of the router's limits,
// or nil.
func (s *State) largestQueue() *queue {
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
