package dispatch

import (
	"slices"
	"strings"
	"time"

	"goldcrestport/coordination/health"
)

// pool holds the sidecars and queues of one service.
type pool struct {
	service  string
	sidecars []*sidecar
	teams    map[string]*queue
	// active holds the queues that are non-empty or registered with a sidecar,
	// sorted by team, so that idle teams cost no processing time.
	active   []*queue
	affinity affinity
	// version changes when a sidecar connects or disconnects.
	version int
	// noSidecarSince is when the last sidecar disconnected or began to drain,
	// zero while there is one that is not draining.
	noSidecarSince time.Time
}

// sidecar is a sidecar with an open control stream.
type sidecar struct {
	id      string
	service string
	slots   int
	// free is the estimated number of free slots: the last report, less the
	// offers sent, plus the attempts that ended since.
	free int
	// reportedFree is the number of free slots in the last report.
	reportedFree int
	// reportedLoad is the number of running and waiting attempts at the sidecar
	// in the last report.
	reportedLoad int
	// sentSinceReport counts the attempts sent from here since the last report.
	sentSinceReport int
	// inFlight counts the attempts from here that have not ended.
	inFlight int
	// draining is set while the sidecar accepts no new work.
	draining bool
	// selfEjected is set while the sidecar reports its backend server as failing.
	selfEjected bool
	health      *health.Tracker
	// probeID is the ID of the probe request in flight at the ejected sidecar.
	probeID string
}

// available reports whether the sidecar accepts requests other than probes.
func (sc *sidecar) available() bool { return !sc.draining && !sc.health.Ejected() }

// pool returns the pool of the service and creates it on first use.
func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{service: service, teams: map[string]*queue{}}
		s.pools[service] = p
	}
	return p
}

// poolAt returns the pool of the service. For a new pool, noSidecarSince is set
// to now.
func (s *State) poolAt(now time.Time, service string) *pool {
	p := s.pool(service)
	if len(p.sidecars) == 0 && p.noSidecarSince.IsZero() {
		p.noSidecarSince = now
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

// activate adds a queue to the active queues.
func (p *pool) activate(q *queue) {
	i, found := slices.BinarySearchFunc(p.active, q.team, byTeam)
	if !found {
		p.active = slices.Insert(p.active, i, q)
	}
}

func byTeam(q *queue, team string) int { return strings.Compare(q.team, team) }

// deactivateIdle removes the queues that are empty and not registered with any
// sidecar from the active queues.
func (p *pool) deactivateIdle() {
	p.active = slices.DeleteFunc(p.active, func(q *queue) bool { return q.len() == 0 && len(q.registrations) == 0 })
}

// availableSidecars returns the number of sidecars that are available.
func (p *pool) availableSidecars() int {
	n := 0
	for _, sc := range p.sidecars {
		if sc.available() {
			n++
		}
	}
	return n
}

func (s *State) sidecarUp(now time.Time, ev SidecarUp) {
	s.sidecarDown(now, ev.Sidecar)
	p := s.pool(ev.Service)
	sc := &sidecar{id: ev.Sidecar, service: ev.Service, health: health.New(s.cfg.Health)}
	s.sidecars[sc.id] = sc
	p.sidecars = append(p.sidecars, sc)
	p.version++
	s.checkAvailability(now, p)
	s.coverPool(now, p)
	s.placement.capacityChanged(now, p)
}

func (s *State) sidecarDown(now time.Time, id string) {
	sc := s.sidecars[id]
	if sc == nil {
		return
	}
	delete(s.sidecars, id)
	p := s.pool(sc.service)
	p.sidecars = slices.DeleteFunc(p.sidecars, func(o *sidecar) bool { return o == sc })
	p.version++
	for _, q := range p.active {
		delete(q.registrations, id)
	}
	s.checkAvailability(now, p)
	s.coverPool(now, p)
}

func (s *State) loadReported(now time.Time, ev LoadReported) {
	sc := s.sidecars[ev.Sidecar]
	if sc == nil {
		return
	}
	sc.slots, sc.free, sc.reportedFree = ev.Slots, ev.Free, ev.Free
	sc.reportedLoad, sc.sentSinceReport = max(ev.Slots-ev.Free, 0)+ev.Waiting, 0
	sc.selfEjected = ev.Ejected
	p := s.pool(sc.service)
	if sc.draining != ev.Draining {
		sc.draining = ev.Draining
		s.withdrawAll(p, sc)
		s.checkAvailability(now, p)
		s.coverPool(now, p)
	}
	s.registerAll(now, p, sc)
	s.placement.capacityChanged(now, p)
}

// checkAvailability updates noSidecarSince. If only ejected sidecars remain, it
// re-admits all of them.
func (s *State) checkAvailability(now time.Time, p *pool) {
	remaining := 0
	for _, sc := range p.sidecars {
		if !sc.draining {
			remaining++
		}
	}
	switch {
	case remaining > 0:
		p.noSidecarSince = time.Time{}
	case p.noSidecarSince.IsZero():
		p.noSidecarSince = now
	}
	if remaining > 0 && p.availableSidecars() == 0 {
		for _, sc := range p.sidecars {
			sc.health, sc.probeID = health.New(s.cfg.Health), ""
		}
	}
}
