// Package dispatch decides, at one router, where each request goes: it is
// offered to a sidecar with room, or it waits in its team's queue until a
// sidecar pulls it, or it is refused.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the actions to perform. It has no I/O, clock or goroutines. The
// driver is transport/router.
//
// Routers with sidecars use it.
package dispatch

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// seedStream separates the generator's second word from the seed.
const seedStream = 0x9e3779b97f4a7c15

// State is the state of one router's dispatch. It must be used by one
// goroutine at a time.
type State struct {
	cfg       Config
	rng       *rand.Rand
	place     placement
	pools     map[string]*pool
	requests  map[string]*entry
	peers     map[string]*peer
	shares    map[string]float64
	routers   int
	arrivals  uint64
	queued    int
	bytes     int64
	deadlines deadlines
	retries   bucket
	pace      bucket
	maintain  time.Time
	stats     Stats
	out       []Action
}

// placement is the part of a policy that differs from the others.
type placement interface {
	// admit places a new request or refuses it.
	admit(now time.Time, p *pool, e *entry)
	// readmit places a request again whose attempt did not run.
	readmit(now time.Time, p *pool, e *entry)
	// roomChanged lets waiting requests use room that may have opened.
	roomChanged(now time.Time, p *pool)
}

// New returns the empty state. The config must be valid.
func New(cfg Config) *State {
	s := &State{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^seedStream)),
		pools:    map[string]*pool{},
		requests: map[string]*entry{},
		peers:    map[string]*peer{},
		shares:   map[string]float64{},
		routers:  1,
		retries:  newBucket(cfg.Retry.PerSecond, cfg.Retry.Burst),
		pace:     newBucket(cfg.Interest.PerSecond, cfg.Interest.PerSecond),
		stats:    Stats{Refused: map[RefuseReason]uint64{}},
	}
	switch cfg.Policy {
	case PolicyPushFIFO:
		s.place = pushFIFO{s}
	case PolicyPushFair:
		s.place = pushFair{s}
	default:
		s.place = pull{s}
	}
	return s
}

// entry is one request that has not ended.
type entry struct {
	req     Request
	arrived time.Time
	// number orders the requests by arrival.
	number uint64
	// waiting is the entry's place in its queue, nil while it is sent.
	waiting *list.Element
	// sidecar that holds the last attempt, empty while the entry waits.
	sidecar string
	// avoid is the sidecar of a failed attempt, which gets the request again
	// only after avoidUntil.
	avoid      string
	avoidUntil time.Time
	offers     int
	// overtaken counts the requests that went before it out of order.
	overtaken int
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.out = s.out[:0]
	s.expire(now)
	switch ev := ev.(type) {
	case Arrived:
		s.arrive(now, ev.Request)
	case Withdrawn:
		s.withdrawn(now, ev)
	case Ended:
		s.ended(now, ev)
	case SidecarUp:
		s.sidecarUp(now, ev)
	case SidecarDown:
		s.sidecarDown(now, ev.Sidecar)
	case LoadReported:
		s.load(now, ev)
	case Pulled:
		s.pulled(now, ev)
	case Declined:
		s.declined(now, ev)
	case Failed:
		s.failed(now, ev)
	case Succeeded:
		s.succeeded(now, ev)
	case SharesSet:
		s.shares = ev.Shares
	case RoutersSeen:
		s.routers = max(ev.Count, 1)
	case Ticked:
		s.tick(now)
	}
	return s.out
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

func (s *State) share(team string) float64 {
	if w := s.shares[team]; w > 0 {
		return w
	}
	return s.cfg.DefaultShare
}

// send starts an attempt. A pull of 0 marks an offer.
func (s *State) send(e *entry, c *peer, pull uint64) {
	e.sidecar = c.id
	s.pool(c.service).affinity.note(e.req.Prefix, c.id)
	c.inFlight++
	c.since++
	s.emit(Send{ID: e.req.ID, Sidecar: c.id, Pull: pull})
}

// release ends the attempt's hold on its sidecar.
func (s *State) release(e *entry) {
	if c := s.peers[e.sidecar]; c != nil {
		c.inFlight = max(c.inFlight-1, 0)
		if c.reported > 0 {
			c.free = min(c.free+1, c.slots)
		}
		if c.probe == e.req.ID {
			c.endProbe()
		}
	}
	e.sidecar = ""
}

// drop forgets a request that waits or is sent.
func (s *State) drop(now time.Time, id string) {
	e := s.requests[id]
	if e == nil {
		return
	}
	delete(s.requests, id)
	p := s.pool(e.req.Service)
	if e.waiting != nil {
		s.unqueue(now, p, e)
		return
	}
	s.release(e)
	s.place.roomChanged(now, p)
}

// withdrawn forgets a request. A pull that it was to answer gets the next one,
// so that the sidecar does not wait for an attempt that never comes.
func (s *State) withdrawn(now time.Time, ev Withdrawn) {
	e := s.requests[ev.ID]
	if e == nil {
		return
	}
	sidecar := e.sidecar
	s.drop(now, ev.ID)
	if ev.Pull != 0 && sidecar != "" {
		s.pulled(now, Pulled{Sidecar: sidecar, Pull: ev.Pull, Team: e.req.Team})
	}
}

func (s *State) ended(now time.Time, ev Ended) {
	e := s.requests[ev.ID]
	if e == nil {
		return
	}
	if ev.Cost > 0 {
		q := s.pool(e.req.Service).queue(s, e.req.Team)
		q.served += ev.Cost - e.req.Estimate
	}
	s.drop(now, ev.ID)
}

// tick lets time pass: deadlines were looked at before.
func (s *State) tick(now time.Time) {
	s.refuseUnserved(now)
	if now.Before(s.maintain) {
		return
	}
	s.maintain = now.Add(s.cfg.Interest.MaintainEvery)
	for _, p := range s.sortedPools() {
		s.maintainPool(now, p)
		p.settle()
		s.place.roomChanged(now, p)
	}
}
