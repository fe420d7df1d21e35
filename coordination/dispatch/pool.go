package dispatch

import (
	"slices"
	"strings"
	"time"

	"goldcrestport/coordination/health"
)

// pool is what the router knows of one service.
type pool struct {
	service string
	peers   []*peer
	teams   map[string]*queue
	// active holds the queues in which something waits or of which a sidecar
	// knows, sorted by team. Teams that send nothing cost nothing.
	active   []*queue
	affinity affinity
	// version changes when a sidecar joins or goes.
	version int
	// emptySince is when the last sidecar that takes work went, zero while
	// there is one.
	emptySince time.Time
}

// peer is one sidecar with an open control stream.
type peer struct {
	id      string
	service string
	slots   int
	// free is the room known here: the last report, less the offers sent,
	// plus the attempts that ended since.
	free int
	// reported is the room of the last report.
	reported int
	// occupied is what ran and waited at the sidecar by the last report.
	occupied int
	// since counts the attempts sent from here since the last report.
	since int
	// inFlight counts the attempts from here that have not ended.
	inFlight    int
	leaving     bool
	selfEjected bool
	health      *health.Tracker
	// probe is the request that probes an ejected sidecar.
	probe string
}

// open reports whether the sidecar takes ordinary work.
func (c *peer) open() bool { return !c.leaving && !c.health.Ejected() }

func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{service: service, teams: map[string]*queue{}}
		s.pools[service] = p
	}
	return p
}

// poolAt returns the pool; one that is met for the first time is empty since
// now.
func (s *State) poolAt(now time.Time, service string) *pool {
	p := s.pool(service)
	if len(p.peers) == 0 && p.emptySince.IsZero() {
		p.emptySince = now
	}
	return p
}

func (s *State) sortedPools() []*pool {
	out := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pool) int { return strings.Compare(a.service, b.service) })
	return out
}

// activate adds a queue to those that are looked at.
func (p *pool) activate(q *queue) {
	i, found := slices.BinarySearchFunc(p.active, q.team, byTeam)
	if !found {
		p.active = slices.Insert(p.active, i, q)
	}
}

func byTeam(q *queue, team string) int { return strings.Compare(q.team, team) }

// settle drops the queues that hold nothing and that no sidecar knows of.
func (p *pool) settle() {
	p.active = slices.DeleteFunc(p.active, func(q *queue) bool { return q.len() == 0 && len(q.seen) == 0 })
}

// openPeers returns the number of sidecars that take ordinary work.
func (p *pool) openPeers() int {
	n := 0
	for _, c := range p.peers {
		if c.open() {
			n++
		}
	}
	return n
}

func (s *State) sidecarUp(now time.Time, ev SidecarUp) {
	s.sidecarDown(now, ev.Sidecar)
	p := s.pool(ev.Service)
	c := &peer{id: ev.Sidecar, service: ev.Service, health: health.New(s.cfg.Health)}
	s.peers[c.id] = c
	p.peers = append(p.peers, c)
	p.version++
	s.checkEmpty(now, p)
	s.coverAll(now, p)
	s.place.roomChanged(now, p)
}

func (s *State) sidecarDown(now time.Time, id string) {
	c := s.peers[id]
	if c == nil {
		return
	}
	delete(s.peers, id)
	p := s.pool(c.service)
	p.peers = slices.DeleteFunc(p.peers, func(o *peer) bool { return o == c })
	p.version++
	for _, q := range p.active {
		delete(q.seen, id)
	}
	s.checkEmpty(now, p)
	s.coverAll(now, p)
}

func (s *State) load(now time.Time, ev LoadReported) {
	c := s.peers[ev.Sidecar]
	if c == nil {
		return
	}
	c.slots, c.free, c.reported = ev.Slots, ev.Free, ev.Free
	c.occupied, c.since = max(ev.Slots-ev.Free, 0)+ev.Waiting, 0
	c.selfEjected = ev.Ejected
	p := s.pool(c.service)
	if c.leaving != ev.Leaving {
		c.leaving = ev.Leaving
		s.forget(p, c)
		s.checkEmpty(now, p)
		s.coverAll(now, p)
	}
	s.offerInterest(now, p, c)
	s.place.roomChanged(now, p)
}

// checkEmpty keeps the time since which nothing serves the pool. If only
// ejected sidecars are left, they all get another chance.
func (s *State) checkEmpty(now time.Time, p *pool) {
	taking := 0
	for _, c := range p.peers {
		if !c.leaving {
			taking++
		}
	}
	switch {
	case taking > 0:
		p.emptySince = time.Time{}
	case p.emptySince.IsZero():
		p.emptySince = now
	}
	if taking > 0 && p.openPeers() == 0 {
		for _, c := range p.peers {
			c.health, c.probe = health.New(s.cfg.Health), ""
		}
	}
}
