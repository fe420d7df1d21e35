package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Times of the model: a router's lease, how long before its end a router stops using its
// shares, and how long after a new registration it starts to.
const (
	modelLease  = 9 * time.Second
	modelMargin = 1500 * time.Millisecond
	modelSettle = 3 * time.Second
	modelRenew  = 3 * time.Second
	modelStep   = 10 * time.Millisecond
)

// change is one write to the model's store.
type change struct {
	revision uint64
	// router that registered, or whose registration ended.
	router string
	joined bool
	// server that turned cold, and for how long.
	server  string
	coldFor time.Duration
}

// modelRouter is one router with its own view of the store.
type modelRouter struct {
	id    string
	state *State
	// seen is the number of changes that the router knows, lag the delay of the changes to
	// it, partitionedUntil until when it receives none.
	seen             int
	lag              time.Duration
	partitionedUntil time.Time
	// registeredAt is when the router started or was registered anew.
	registeredAt time.Time
	renewedAt    time.Time
	alive        bool
	known        map[string]uint64
}

// fleet models routers with one store, in virtual time.
type fleet struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Time
	cfg     Config
	routers []*modelRouter
	changes []change
	times   []time.Time
	// leases are the registrations in the store and until when they are valid.
	leases map[string]time.Time
	// sends are the sends to each cold server.
	sends map[string][]time.Time
}

const modelService = "engines"

func newFleet(t testing.TB, cfg Config, n int, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), cfg: cfg,
		leases: map[string]time.Time{}, sends: map[string][]time.Time{},
	}
	for i := range n {
		f.start(fmt.Sprintf("router-%d", i))
	}
	f.run(5*time.Second, nil)
	return f
}

// write adds a change to the store's history.
func (f *fleet) write(c change) {
	c.revision = uint64(len(f.changes) + 1)
	f.changes, f.times = append(f.changes, c), append(f.times, f.now)
}

// start starts a process under the id, which registers.
func (f *fleet) start(id string) {
	r := &modelRouter{id: id, state: New(f.cfg, id), lag: time.Duration(f.rng.IntN(800)) * time.Millisecond, registeredAt: f.now, alive: true, known: map[string]uint64{}}
	r.state.SetService(modelService, Service{Rate: 13, ColdFor: 3 * time.Second})
	for i, other := range f.routers {
		if other.id == id {
			f.routers[i] = r
			f.register(r)
			return
		}
	}
	f.routers = append(f.routers, r)
	f.register(r)
}

func (f *fleet) register(r *modelRouter) {
	if _, valid := f.leases[r.id]; !valid {
		f.write(change{router: r.id, joined: true})
		r.registeredAt = f.now
	}
	f.leases[r.id], r.renewedAt = f.now.Add(modelLease), f.now
}

// step advances the time; routers renew their leases, receive changes and send. demand is
// the probability that a router has a request for each cold server in a step.
func (f *fleet) step(demand func(r *modelRouter) float64) {
	f.now = f.now.Add(modelStep)
	for id, until := range f.leases {
		if f.now.After(until) {
			delete(f.leases, id)
			f.write(change{router: id})
		}
	}
	for _, r := range f.routers {
		if !r.alive {
			continue
		}
		if f.now.Sub(r.renewedAt) >= modelRenew && f.now.After(r.partitionedUntil) {
			f.register(r)
		}
		f.receive(r)
		if demand != nil {
			f.send(r, demand(r))
		}
	}
}

// receive applies the changes that have reached the router by now.
func (f *fleet) receive(r *modelRouter) {
	if f.now.Before(r.partitionedUntil) {
		return
	}
	for r.seen < len(f.changes) && f.now.Sub(f.times[r.seen]) >= r.lag {
		c := f.changes[r.seen]
		r.seen++
		switch {
		case c.server != "":
			r.state.Entered(f.now, c.server, modelService, c.coldFor, c.revision)
		case c.joined:
			r.known[c.router] = c.revision
		default:
			delete(r.known, c.router)
		}
		r.state.SetRouters(r.known)
	}
}

func (f *fleet) send(r *modelRouter, demand float64) {
	valid := f.now.Sub(r.registeredAt) >= modelSettle && f.now.Sub(r.renewedAt) < modelLease-modelMargin
	r.state.SetRegistered(valid)
	for id, server := range r.state.servers {
		if f.rng.Float64() >= demand {
			continue
		}
		wait, bounded := r.state.Wait(f.now, server)
		if wait > 0 || !bounded {
			continue
		}
		by := r.state.Take(f.now, server)
		late := time.Duration(f.rng.Int64N(int64(by.Sub(f.now))))
		f.sends[id] = append(f.sends[id], f.now.Add(late))
	}
}

func (f *fleet) run(d time.Duration, demand func(r *modelRouter) float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step(demand)
	}
}

// maxSends is the greatest number of sends to a server in any second.
func (f *fleet) maxSends() (most int) {
	for _, times := range f.sends {
		for _, from := range times {
			n := 0
			for _, at := range times {
				if !at.Before(from) && at.Sub(from) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// used is the fraction of the allowed rate that a cold server got, on average.
func (f *fleet) used(span time.Duration, allowed float64) float64 {
	total := 0
	for _, times := range f.sends {
		total += len(times)
	}
	return float64(total) / float64(len(f.sends)) / span.Seconds() / allowed
}

func modelConfig(parts int) Config {
	c := DefaultConfig()
	c.Overrun, c.Slack, c.Parts = 1.5, 5, parts
	return c
}

var allowedRate = 13*1.5 + 5.0

// fullDemand makes each router have a request for every cold server in every step, a
// hundred a second.
func fullDemand(*modelRouter) float64 { return 1 }

// A whole data centre's servers come back cold, and all routers find them idle at the same
// moment. In no second do the servers get more than they can handle, and most of that rate
// is used.
func TestDataCentreReturnsCold(t *testing.T) {
	for _, n := range []int{3, 30, 103, 300, 800} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, modelConfig(0), n, uint64(n))
			for i := range 19 {
				f.write(change{server: fmt.Sprintf("i-%d", i), coldFor: 10 * time.Second})
			}
			f.run(time.Second, fullDemand)
			clear(f.sends)
			f.run(8*time.Second, fullDemand)
			qt.Check(t, f.maxSends() <= int(allowedRate), qt.IsTrue, qt.Commentf("%d in a second", f.maxSends()))
			qt.Check(t, f.used(8*time.Second, allowedRate) >= 0.7, qt.IsTrue, qt.Commentf("%.2f used", f.used(8*time.Second, allowedRate)))
		})
	}
}

// Routers start, are killed, restart under their ids, are partitioned from the store and
// lose their registrations while servers turn cold repeatedly: no server ever gets more
// than it can handle.
func TestRouterFailuresDoNotExceedBound(t *testing.T) {
	for seed := range uint64(30) {
		n := []int{3, 7, 30, 60}[seed%4]
		f := newFleet(t, modelConfig(int(seed%3)), n, seed)
		for round := range 8 {
			for i := range 4 {
				f.write(change{server: fmt.Sprintf("i-%d-%d", round, i), coldFor: time.Duration(1+f.rng.IntN(5)) * time.Second})
			}
			for range 10 {
				f.disturb(n)
				f.run(time.Duration(50+f.rng.IntN(500))*time.Millisecond, fullDemand)
			}
		}
		qt.Assert(t, f.maxSends() <= int(allowedRate), qt.IsTrue, qt.Commentf("seed %d: %d in a second", seed, f.maxSends()))
	}
}

// disturb causes a random fault or start of one router.
func (f *fleet) disturb(n int) {
	r := f.routers[f.rng.IntN(len(f.routers))]
	switch f.rng.IntN(5) {
	case 0:
		r.alive = false
	case 1:
		f.start(r.id)
	case 2:
		r.partitionedUntil = f.now.Add(time.Duration(f.rng.IntN(15000)) * time.Millisecond)
	case 3:
		if len(f.routers) < 2*n {
			f.start(fmt.Sprintf("later-%d", len(f.routers)))
		}
	}
}

// BenchmarkColdRateUsed compares ways to divide a cold server's rate when each router has a
// few requests a second for it: to one router, to four, or to as many as it has requests a
// second.
func BenchmarkColdRateUsed(b *testing.B) {
	for _, parts := range []int{1, 4, 0} {
		for _, n := range []int{3, 30, 103, 300} {
			b.Run(fmt.Sprintf("parts=%d/routers=%d", parts, n), func(b *testing.B) {
				var used float64
				for range b.N {
					f := newFleet(b, modelConfig(parts), n, uint64(n))
					for i := range 19 {
						f.write(change{server: fmt.Sprintf("i-%d", i), coldFor: 5 * time.Second})
					}
					f.run(time.Second, nil)
					f.run(4*time.Second, func(*modelRouter) float64 { return 4 * modelStep.Seconds() })
					used += f.used(4*time.Second, allowedRate)
				}
				b.ReportMetric(used/float64(b.N), "used")
			})
		}
	}
}
