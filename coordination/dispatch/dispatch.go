package dispatch

import (
	"math/rand/v2"
	"sort"
	"time"
)

// defaultRetryAfter is the hint when no drain rate is known yet.
const defaultRetryAfter = time.Second

// State is the state of one router's dispatch. It must be used by one
// goroutine at a time.
type State struct {
	cfg      Config
	rng      *rand.Rand
	pools    map[string]*pool
	requests map[string]*entry
	peers    map[string]*peer
	queued   int
	bytes    int64
	refresh  time.Time
	out      []Action
}

// New returns the empty state. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		pools:    map[string]*pool{},
		requests: map[string]*entry{},
		peers:    map[string]*peer{},
	}
}

// pool is what the router knows of one service.
type pool struct {
	service string
	peers   []*peer
	teams   map[string]*queue
}

// peer is one sidecar with an open control stream.
type peer struct {
	id      string
	service string
	slots   int
	free    int
	leaving bool
}

// queue holds the waiting requests of one team for one service.
type queue struct {
	team    string
	waiting []*entry
	bytes   int64
}

// entry is one request that has not ended.
type entry struct {
	req     Request
	arrived time.Time
	waiting bool
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.out = s.out[:0]
	switch ev := ev.(type) {
	case Arrived:
		s.arrive(now, ev.Request)
	case Withdrawn:
		s.drop(now, ev.ID)
	case Ended:
		s.drop(now, ev.ID)
	case SidecarUp:
		s.sidecarUp(now, ev)
	case SidecarDown:
		s.sidecarDown(ev.Sidecar)
	case LoadReported:
		s.load(ev)
	case Pulled:
		s.pulled(now, ev)
	case Declined:
		s.declined(now, ev)
	case Ticked:
		s.tick(now)
	}
	return s.out
}

// Waiting returns the number of requests that wait at the router.
func (s *State) Waiting() int { return s.queued }

func (s *State) emit(a Action) { s.out = append(s.out, a) }

func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{service: service, teams: map[string]*queue{}}
		s.pools[service] = p
	}
	return p
}

func (p *pool) queue(team string) *queue {
	q := p.teams[team]
	if q == nil {
		q = &queue{team: team}
		p.teams[team] = q
	}
	return q
}

func (s *State) arrive(now time.Time, r Request) {
	p := s.pool(r.Service)
	if len(p.peers) == 0 {
		s.emit(Refuse{ID: r.ID, Reason: NoSidecar, RetryAfter: defaultRetryAfter})
		return
	}
	q := p.queue(r.Team)
	e := &entry{req: r, arrived: now}
	if len(q.waiting) == 0 {
		if to := s.freePeer(p); to != nil {
			s.requests[r.ID] = e
			to.free--
			s.emit(Send{ID: r.ID, Sidecar: to.id})
			return
		}
	}
	if s.full(q, r) {
		s.emit(Refuse{ID: r.ID, Reason: QueueFull, RetryAfter: defaultRetryAfter})
		return
	}
	s.requests[r.ID] = e
	s.enqueue(now, p, q, e, len(q.waiting))
}

// full reports whether the request would pass a bound.
func (s *State) full(q *queue, r Request) bool {
	maxQueued, maxBytes := s.cfg.MaxQueued, s.cfg.MaxQueuedBytes
	if r.MaxQueued > 0 {
		maxQueued = r.MaxQueued
	}
	if r.MaxQueuedBytes > 0 {
		maxBytes = r.MaxQueuedBytes
	}
	return len(q.waiting) >= maxQueued ||
		q.bytes+r.Bytes > maxBytes ||
		s.queued >= s.cfg.TotalQueued ||
		s.bytes+r.Bytes > s.cfg.TotalQueuedBytes
}

// freePeer returns the sidecar with the most reported room, or nil.
func (s *State) freePeer(p *pool) *peer {
	var best *peer
	ties := 0
	for _, c := range p.peers {
		if c.leaving || c.free <= 0 {
			continue
		}
		switch {
		case best == nil || c.free > best.free:
			best, ties = c, 1
		case c.free == best.free:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// enqueue puts the entry at place at and registers interest if the queue was
// empty.
func (s *State) enqueue(now time.Time, p *pool, q *queue, e *entry, at int) {
	e.waiting = true
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = e
	q.bytes += e.req.Bytes
	s.queued++
	s.bytes += e.req.Bytes
	if len(q.waiting) == 1 {
		s.register(now, p, q)
	}
}

func (s *State) register(now time.Time, p *pool, q *queue) {
	for _, c := range p.peers {
		s.registerAt(now, p, q, c)
	}
}

func (s *State) registerAt(now time.Time, p *pool, q *queue, c *peer) {
	a := Register{Sidecar: c.id, Team: q.team, Count: len(q.waiting), Spread: len(p.peers)}
	if a.Count > 0 {
		a.Oldest = now.Sub(q.waiting[0].arrived)
	}
	s.emit(a)
}

// unqueue takes the entry at place i out of its queue.
func (s *State) unqueue(now time.Time, p *pool, q *queue, i int) *entry {
	e := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	q.bytes -= e.req.Bytes
	s.queued--
	s.bytes -= e.req.Bytes
	e.waiting = false
	if len(q.waiting) == 0 {
		s.register(now, p, q)
	}
	return e
}

func (s *State) drop(now time.Time, id string) {
	e := s.requests[id]
	if e == nil {
		return
	}
	delete(s.requests, id)
	if !e.waiting {
		return
	}
	p := s.pool(e.req.Service)
	q := p.queue(e.req.Team)
	for i, w := range q.waiting {
		if w == e {
			s.unqueue(now, p, q, i)
			return
		}
	}
}

func (s *State) sidecarUp(now time.Time, ev SidecarUp) {
	s.sidecarDown(ev.Sidecar)
	c := &peer{id: ev.Sidecar, service: ev.Service}
	p := s.pool(ev.Service)
	s.peers[c.id] = c
	p.peers = append(p.peers, c)
	for _, team := range sortedTeams(p) {
		if q := p.teams[team]; len(q.waiting) > 0 {
			s.registerAt(now, p, q, c)
		}
	}
}

func sortedTeams(p *pool) []string {
	teams := make([]string, 0, len(p.teams))
	for t := range p.teams {
		teams = append(teams, t)
	}
	sort.Strings(teams)
	return teams
}

func (s *State) sidecarDown(id string) {
	c := s.peers[id]
	if c == nil {
		return
	}
	delete(s.peers, id)
	p := s.pool(c.service)
	for i, other := range p.peers {
		if other == c {
			p.peers = append(p.peers[:i], p.peers[i+1:]...)
			return
		}
	}
}

func (s *State) load(ev LoadReported) {
	c := s.peers[ev.Sidecar]
	if c == nil {
		return
	}
	c.slots, c.free, c.leaving = ev.Slots, ev.Free, ev.Leaving
}

func (s *State) pulled(now time.Time, ev Pulled) {
	c := s.peers[ev.Sidecar]
	if c == nil {
		return
	}
	p := s.pool(c.service)
	q := p.teams[ev.Team]
	if q == nil || len(q.waiting) == 0 {
		s.emit(Empty{Sidecar: ev.Sidecar, Pull: ev.Pull})
		return
	}
	e := s.unqueue(now, p, q, 0)
	s.emit(Send{ID: e.req.ID, Sidecar: ev.Sidecar, Pull: ev.Pull})
}

func (s *State) declined(now time.Time, ev Declined) {
	if c := s.peers[ev.Sidecar]; c != nil {
		c.free = ev.Free
	}
	e := s.requests[ev.ID]
	if e == nil || e.waiting {
		return
	}
	p := s.pool(e.req.Service)
	s.enqueue(now, p, p.queue(e.req.Team), e, 0)
}

func (s *State) tick(now time.Time) {
	for _, e := range s.expired(now) {
		s.drop(now, e.req.ID)
		s.emit(Refuse{ID: e.req.ID, Reason: DeadlinePassed, RetryAfter: defaultRetryAfter})
	}
	if now.Before(s.refresh) {
		return
	}
	s.refresh = now.Add(s.cfg.RefreshEvery)
	for _, p := range s.pools {
		for _, team := range sortedTeams(p) {
			if q := p.teams[team]; len(q.waiting) > 0 {
				s.register(now, p, q)
			}
		}
	}
}

func (s *State) expired(now time.Time) []*entry {
	var out []*entry
	for _, p := range s.pools {
		for _, q := range p.teams {
			for _, e := range q.waiting {
				if !e.req.Deadline.IsZero() && now.After(e.req.Deadline) {
					out = append(out, e)
				}
			}
		}
	}
	return out
}
