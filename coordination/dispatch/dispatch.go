// Package dispatch decides where one router sends each request: it offers the
// request to a sidecar that has free slots, queues it per team until a sidecar
// pulls it, or refuses it.
//
// The package is a deterministic state machine without I/O, clock or
// goroutines: State.Step takes an event and the current time and returns the
// actions to perform. transport/router drives it in routers that have
// sidecars.
package dispatch

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// seedStream is combined with the seed to form the second word of the
// generator's state, so that the two words differ.
const seedStream = 0x9e3779b97f4a7c15

// State is the dispatch state of one router. It is not safe for concurrent
// use.
type State struct {
	cfg             Config
	rng             *rand.Rand
	placement       placement
	pools           map[string]*pool
	requests        map[string]*entry
	sidecars        map[string]*sidecar
	shares          map[string]float64
	routerCount     int
	arrivals        uint64
	queued          int
	queuedBytes     int64
	deadlines       deadlineHeap
	retryBudget     bucket
	messageBudget   bucket
	nextMaintenance time.Time
	stats           Stats
	actions         []Action
}

// placement is the behaviour that differs between the policies.
type placement interface {
	// admit sends, queues or refuses a new request.
	admit(now time.Time, p *pool, e *entry)
	// readmit sends, queues or refuses a request whose attempt was declined or
	// failed.
	readmit(now time.Time, p *pool, e *entry)
	// capacityChanged is called when sidecars may have more free slots. It
	// sends queued requests to them if the policy pushes.
	capacityChanged(now time.Time, p *pool)
}

// New returns a State without sidecars and requests. The config must be valid.
func New(cfg Config) *State {
	s := &State{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^seedStream)),
		pools:         map[string]*pool{},
		requests:      map[string]*entry{},
		sidecars:      map[string]*sidecar{},
		shares:        map[string]float64{},
		routerCount:   1,
		retryBudget:   newBucket(cfg.Retry.PerSecond, cfg.Retry.Burst),
		messageBudget: newBucket(cfg.Registration.PerSecond, cfg.Registration.PerSecond),
		stats:         Stats{Refused: map[RefuseReason]uint64{}},
	}
	switch cfg.Policy {
	case PolicyPushFIFO:
		s.placement = pushFIFO{s}
	case PolicyPushFair:
		s.placement = pushFair{s}
	default:
		s.placement = pull{s}
	}
	return s
}

// entry is a request that is queued or in flight.
type entry struct {
	req     Request
	arrived time.Time
	// sequence orders the requests by arrival.
	sequence uint64
	// element is the entry's position in its queue, nil while it is in flight.
	element *list.Element
	// sidecar runs the current attempt. It is empty while the entry is queued.
	sidecar string
	// avoid is the sidecar at which the last attempt failed. It is not sent
	// the request again before avoidUntil.
	avoid      string
	avoidUntil time.Time
	// offers is the number of times that the request was offered.
	offers int
	// overtaken is the number of requests behind it that were sent first.
	overtaken int
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The returned slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = s.actions[:0]
	s.expire(now)
	switch ev := ev.(type) {
	case Arrived:
		s.arrived(now, ev.Request)
	case Cancelled:
		s.cancelled(now, ev)
	case Ended:
		s.ended(now, ev)
	case SidecarUp:
		s.sidecarUp(now, ev)
	case SidecarDown:
		s.sidecarDown(now, ev.Sidecar)
	case LoadReported:
		s.loadReported(now, ev)
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
	case RouterCountChanged:
		s.routerCount = max(ev.Count, 1)
	case Ticked:
		s.ticked(now)
	}
	return s.actions
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) shareOf(team string) float64 {
	if w := s.shares[team]; w > 0 {
		return w
	}
	return s.cfg.DefaultShare
}

// send starts an attempt at the sidecar. The pull is 0 for an offer.
func (s *State) send(e *entry, sc *sidecar, pull uint64) {
	e.sidecar = sc.id
	s.pool(sc.service).affinity.record(e.req.Prefix, sc.id)
	sc.inFlight++
	sc.sentSinceReport++
	s.emit(Send{ID: e.req.ID, Sidecar: sc.id, Pull: pull})
}

// release ends the entry's attempt: it frees the slot at the sidecar, and
// abandons the attempt's probe if it has no result yet.
func (s *State) release(e *entry) {
	if sc := s.sidecars[e.sidecar]; sc != nil {
		sc.inFlight = max(sc.inFlight-1, 0)
		if sc.reportedFree > 0 {
			sc.free = min(sc.free+1, sc.slots)
		}
		if sc.probeID == e.req.ID {
			sc.abandonProbe()
		}
	}
	e.sidecar = ""
}

// remove deletes a request that is queued or in flight.
func (s *State) remove(now time.Time, id string) {
	e := s.requests[id]
	if e == nil {
		return
	}
	delete(s.requests, id)
	p := s.pool(e.req.Service)
	if e.element != nil {
		s.dequeue(now, p, e)
		return
	}
	s.release(e)
	s.placement.capacityChanged(now, p)
}

// cancelled deletes a request. If its attempt was to answer a pull, the pull is
// answered with the next request, so that the sidecar does not wait for an
// attempt that never starts.
func (s *State) cancelled(now time.Time, ev Cancelled) {
	e := s.requests[ev.ID]
	if e == nil {
		return
	}
	sidecar := e.sidecar
	s.remove(now, ev.ID)
	if ev.Pull != 0 && sidecar != "" {
		s.pulled(now, Pulled{Sidecar: sidecar, Pull: ev.Pull, Team: e.req.Team})
	}
}

// ended deletes a request and corrects its team's served cost from the estimate
// to the actual cost.
func (s *State) ended(now time.Time, ev Ended) {
	e := s.requests[ev.ID]
	if e == nil {
		return
	}
	if ev.Cost > 0 {
		q := s.pool(e.req.Service).queue(s, e.req.Team)
		q.servedCost += ev.Cost - e.req.Estimate
	}
	s.remove(now, ev.ID)
}

// ticked does the periodic work. Step has already expired the deadlines.
func (s *State) ticked(now time.Time) {
	s.refuseUnserved(now)
	if now.Before(s.nextMaintenance) {
		return
	}
	s.nextMaintenance = now.Add(s.cfg.Registration.MaintainEvery)
	for _, p := range s.sortedPools() {
		s.maintainPool(now, p)
		p.deactivateIdle()
		s.placement.capacityChanged(now, p)
	}
}
