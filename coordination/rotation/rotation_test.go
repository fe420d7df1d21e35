package rotation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Times of the model: how often routers look at themselves and tell their neighbours,
// and how long the balancer takes to notice.
const (
	step    = 50 * time.Millisecond
	tell    = 150 * time.Millisecond
	notices = 2 * time.Second
	// overload is how long a router takes to be late under a flood that it cannot
	// bear, and relief how long to be calm again.
	overload = 500 * time.Millisecond
	relief   = 300 * time.Millisecond
)

// router is one of the model's.
type router struct {
	id    string
	state *State
	large bool
	alive bool
	// ready is since when it is in or out of rotation, for the balancer.
	in      bool
	changed time.Time
	loaded  time.Duration
	free    time.Duration
}

// dataCentre is a model of a balancer before the routers of a data centre of which a
// flood takes one, in its own order.
type dataCentre struct {
	now     time.Time
	routers []*router
	told    time.Time
	// borne is the time in which the flood was at a router that bears it, crowded
	// that in which fewer than half of the routers were in rotation.
	borne, crowded time.Duration
}

func newDataCentre(large ...bool) *dataCentre {
	d := &dataCentre{now: time.Unix(1000, 0)}
	for i, is := range large {
		d.routers = append(d.routers, &router{id: fmt.Sprint(i), state: New(DefaultConfig()), large: is, alive: true, in: true, free: relief})
	}
	for range 100 {
		d.exchange()
	}
	return d
}

// exchange lets routers hear each other.
func (d *dataCentre) exchange() {
	for _, from := range d.routers {
		for _, to := range d.routers {
			if from != to && from.alive && to.alive {
				to.state.Heard(d.now, from.id, from.state.Word(d.now))
			}
		}
	}
	d.told = d.now
}

// rotated returns the routers to which the balancer sends callers.
func (d *dataCentre) rotated() []*router {
	var in []*router
	for _, r := range d.routers {
		// The balancer knows what a router said two seconds ago.
		said := r.in
		if d.now.Sub(r.changed) < notices {
			said = !r.in
		}
		if r.alive && said {
			in = append(in, r)
		}
	}
	return in
}

// run plays the flood, which takes the first router in rotation, of all when too few
// are.
func (d *dataCentre) run(span time.Duration, flooded bool) {
	for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(step) {
		in := d.rotated()
		if 2*len(in) < len(d.routers) && len(in) > 0 {
			d.crowded += step
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
				d.borne += step
			}
		}
		if d.now.Sub(d.told) >= tell {
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
	if r.state.Observe(d.now, r.loaded >= overload, r.free >= relief) {
		r.in, r.changed = !r.state.Away(), d.now
	}
}

// Pattern: one team floods a data centre whose small routers come first in its order.
// Ground: each return of one of them costs the callers thousands of closed
// connections; the large one that comes fifth bears the flood, once those before it
// are away, and they stay away while it lasts.
func TestAFloodFindsTheRouterThatBearsIt(t *testing.T) {
	for name, large := range map[string][]bool{
		"10 routers": {false, false, false, false, true, false, false, true, false, false},
		"21 routers": {false, false, false, false, false, false, false, true, false, false, false, false, true, false, false, false, false, false, false, false, false},
		"5 routers":  {false, false, true, false, false},
	} {
		d := newDataCentre(large...)
		d.run(60*time.Second, true)
		qt.Check(t, d.borne > 40*time.Second, qt.IsTrue, qt.Commentf("%s: borne for %v", name, d.borne))
		qt.Check(t, d.crowded, qt.Equals, time.Duration(0), qt.Commentf(name))
	}
}

// Pattern: the flood's order has more small routers first than may be away. Ground: the
// balancer takes all routers when fewer than half are ready, the overloaded ones, too:
// one comes back when another must leave, so that never more than half are away.
func TestNeverMoreThanHalfAreAway(t *testing.T) {
	for n := 4; n <= 21; n++ {
		d := newDataCentre(make([]bool, n)...)
		d.run(2*time.Minute, true)
		qt.Check(t, d.crowded, qt.Equals, time.Duration(0), qt.Commentf("%d routers", n))
	}
}

// Routers are killed and start again, knowing nobody, while floods come and go. One
// that is killed beside as many as may be away is one too few, until the balancer
// knows that others are back.
func TestRoutersThatDieDuringAFlood(t *testing.T) {
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
		qt.Check(t, d.crowded < 10*time.Second, qt.IsTrue, qt.Commentf("seed %d: %v", seed, d.crowded))
	}
}

// In a fleet of 800 a neighbour tells something each four seconds; it does not count as
// away in between.
func TestRareWordsAreNoSilence(t *testing.T) {
	for period, leaves := range map[time.Duration]bool{time.Second: false, 4 * time.Second: true} {
		s, now := New(DefaultConfig()), time.Unix(1000, 0)
		s.SetPeriod(period)
		for i := range 41 {
			s.Heard(now, fmt.Sprint(i), Word{})
		}
		qt.Check(t, s.Observe(now.Add(3500*time.Millisecond), true, false), qt.Equals, leaves, qt.Commentf("%v", period))
	}
}

// Few routers decide alone: when none is ready, the balancer goes to other data
// centres. Their pause doubles while the load comes back at once.
func TestFewRoutersDecideAlone(t *testing.T) {
	for n := 1; n <= 3; n++ {
		s, now := New(DefaultConfig()), time.Unix(1000, 0)
		for i := range n - 1 {
			s.Heard(now, fmt.Sprint(i), Word{Away: time.Second})
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
