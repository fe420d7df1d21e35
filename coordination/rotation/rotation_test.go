package rotation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Times of the model: how often routers observe their own load and send their status to
// their neighbours, and how long the balancer takes to notice a change.
const (
	step         = 50 * time.Millisecond
	statusPeriod = 150 * time.Millisecond
	noticeDelay  = 2 * time.Second
	// overloadAfter is how long a flood that a router cannot handle takes to overload it,
	// and reliefAfter how long the router then takes to be on time again.
	overloadAfter = 500 * time.Millisecond
	reliefAfter   = 300 * time.Millisecond
)

// router is a router of the model.
type router struct {
	id    string
	state *State
	large bool
	alive bool
	// in is true if the router is in rotation, changed is when that changed last.
	in      bool
	changed time.Time
	loaded  time.Duration
	free    time.Duration
}

// dataCentre models a balancer in front of the routers of a data centre. A flood uses one
// of them, chosen by an order of its own.
type dataCentre struct {
	now         time.Time
	routers     []*router
	exchangedAt time.Time
	// handled is the time for which the flood was at a router that can handle it, and tooFew
	// the time for which fewer than half of the routers were in rotation.
	handled, tooFew time.Duration
}

func newDataCentre(large ...bool) *dataCentre {
	d := &dataCentre{now: time.Unix(1000, 0)}
	for i, isLarge := range large {
		d.routers = append(d.routers, &router{id: fmt.Sprint(i), state: New(DefaultConfig()), large: isLarge, alive: true, in: true, free: reliefAfter})
	}
	for range 100 {
		d.exchange()
	}
	return d
}

// exchange sends the status of each router to all others.
func (d *dataCentre) exchange() {
	for _, from := range d.routers {
		for _, to := range d.routers {
			if from != to && from.alive && to.alive {
				to.state.Receive(d.now, from.id, from.state.Status(d.now))
			}
		}
	}
	d.exchangedAt = d.now
}

// inRotation returns the routers to which the balancer sends callers.
func (d *dataCentre) inRotation() []*router {
	var in []*router
	for _, r := range d.routers {
		// The balancer acts on what a router reported two seconds ago.
		reported := r.in
		if d.now.Sub(r.changed) < noticeDelay {
			reported = !r.in
		}
		if r.alive && reported {
			in = append(in, r)
		}
	}
	return in
}

// run plays the flood, which uses the first router in rotation, or the first of all when
// too few are in rotation.
func (d *dataCentre) run(span time.Duration, flooded bool) {
	for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(step) {
		in := d.inRotation()
		if 2*len(in) < len(d.routers) && len(in) > 0 {
			d.tooFew += step
			in = nil
			for _, r := range d.routers {
				if r.alive {
					in = append(in, r)
				}
			}
		}
		for _, r := range d.routers {
			hit := flooded && len(in) > 0 && in[0] == r
			d.observe(r, hit)
			if hit && r.large {
				d.handled += step
			}
		}
		if d.now.Sub(d.exchangedAt) >= statusPeriod {
			d.exchange()
		}
	}
}

func (d *dataCentre) observe(r *router, hit bool) {
	if hit && !r.large {
		r.loaded, r.free = r.loaded+step, 0
	} else {
		r.loaded, r.free = 0, r.free+step
	}
	if r.state.Observe(d.now, r.loaded >= overloadAfter, r.free >= reliefAfter) {
		r.in, r.changed = !r.state.OutOfRotation(), d.now
	}
}

// One team floods a data centre whose small routers come first in the flood's order. Each
// return of one of them costs the callers thousands of closed connections. The large router
// further on can handle the flood once those before it are out of rotation, and they stay
// out while it lasts.
func TestFloodReachesRouterThatCanHandleIt(t *testing.T) {
	for name, large := range map[string][]bool{
		"10 routers": {false, false, false, false, true, false, false, true, false, false},
		"21 routers": {false, false, false, false, false, false, false, true, false, false, false, false, true, false, false, false, false, false, false, false, false},
		"5 routers":  {false, false, true, false, false},
	} {
		d := newDataCentre(large...)
		d.run(60*time.Second, true)
		qt.Check(t, d.handled > 40*time.Second, qt.IsTrue, qt.Commentf("%s: handled for %v", name, d.handled))
		qt.Check(t, d.tooFew, qt.Equals, time.Duration(0), qt.Commentf(name))
	}
}

// More small routers come first in the flood's order than may be out of rotation. The
// balancer uses all routers, the overloaded ones included, when fewer than half are ready:
// one returns when another must leave, so that never more than half are out.
func TestNeverMoreThanHalfAreOutOfRotation(t *testing.T) {
	for n := 4; n <= 21; n++ {
		d := newDataCentre(make([]bool, n)...)
		d.run(2*time.Minute, true)
		qt.Check(t, d.tooFew, qt.Equals, time.Duration(0), qt.Commentf("%d routers", n))
	}
}

// Routers are killed and restart without knowledge of the others while floods come and go.
// If one is killed while as many as allowed are out of rotation, there is one too few until
// the balancer notices that others have returned.
func TestRoutersFailDuringFlood(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		d := newDataCentre(false, false, false, true, false, false, false, true, false, false)
		for range 20 {
			victim := d.routers[rng.IntN(len(d.routers))]
			victim.alive = false
			d.run(time.Duration(1+rng.IntN(4))*time.Second, rng.IntN(3) > 0)
			victim.alive, victim.state, victim.in, victim.changed = true, New(DefaultConfig()), true, d.now
			d.run(time.Duration(3+rng.IntN(6))*time.Second, rng.IntN(3) > 0)
		}
		qt.Check(t, d.tooFew < 10*time.Second, qt.IsTrue, qt.Commentf("seed %d: %v", seed, d.tooFew))
	}
}

// In a fleet of 800 routers a neighbour sends its status every four seconds; it does not
// count as out of rotation in between.
func TestInfrequentStatusIsNotSilence(t *testing.T) {
	for period, leaves := range map[time.Duration]bool{time.Second: false, 4 * time.Second: true} {
		s, now := New(DefaultConfig()), time.Unix(1000, 0)
		s.SetPeriod(period)
		for i := range 41 {
			s.Receive(now, fmt.Sprint(i), Status{})
		}
		qt.Check(t, s.Observe(now.Add(3500*time.Millisecond), true, false), qt.Equals, leaves, qt.Commentf("%v", period))
	}
}

// Few routers decide alone: when none is ready, the balancer uses other data centres. Their
// pause doubles while the load returns at once.
func TestFewRoutersDecideAlone(t *testing.T) {
	for n := 1; n <= 3; n++ {
		s, now := New(DefaultConfig()), time.Unix(1000, 0)
		for i := range n - 1 {
			s.Receive(now, fmt.Sprint(i), Status{Away: time.Second})
		}
		qt.Check(t, s.Observe(now, true, false), qt.IsTrue)
		qt.Check(t, s.Observe(now.Add(5900*time.Millisecond), false, true), qt.IsFalse)
		qt.Check(t, s.Observe(now.Add(6*time.Second), false, false), qt.IsFalse)
		qt.Check(t, s.Observe(now.Add(6*time.Second), false, true), qt.IsTrue)
		qt.Check(t, s.Observe(now.Add(7*time.Second), true, false), qt.IsTrue)
		qt.Check(t, s.Observe(now.Add(18900*time.Millisecond), false, true), qt.IsFalse)
		qt.Check(t, s.Observe(now.Add(19*time.Second), false, true), qt.IsTrue)
	}
}
