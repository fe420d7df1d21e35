package saturation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const every = 25 * time.Millisecond

// observe feeds the lateness for the time and returns when it ended.
func observe(t *Tracker, now time.Time, late, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(every) {
		t.Observe(now, late)
	}
	return now
}

// One caller floods a small router: it is saturated within half a second, and
// ready again only after the pause and when timers are in time.
func TestAFloodedRouterIsSaturatedUntilItIsOver(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	now = observe(tr, now, time.Millisecond, 5*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
	now = observe(tr, now, 100*time.Millisecond, 500*time.Millisecond)
	qt.Check(t, tr.Saturated(), qt.IsTrue)
	now = observe(tr, now, time.Millisecond, time.Second)
	qt.Check(t, tr.Saturated(), qt.IsTrue)
	now = observe(tr, now, time.Millisecond, 6*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
	// It comes back at once: the pause doubles.
	now = observe(tr, now, 100*time.Millisecond, 500*time.Millisecond)
	now = observe(tr, now, time.Millisecond, 8*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsTrue)
	observe(tr, now, time.Millisecond, 5*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
}

// A single long pause, such as a freeze or a collection, is no saturation.
func TestASingleLateTimerIsNoSaturation(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	tr.Observe(now, 200*time.Millisecond)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
}

// A flood of streams that the processor cannot pass on settles at what it can,
// and the limit rises again afterwards.
func TestTheLimitSettlesAtWhatTheProcessorCanDo(t *testing.T) {
	const capacity = 200
	l, now, held := NewLimit(DefaultLimitConfig()), time.Unix(1000, 0), 0
	for range 400 {
		for range 20 {
			if Admits(l.Most(), held, held) {
				held++
			}
		}
		held -= held / 20
		late := time.Millisecond
		if held > capacity {
			late = time.Duration(held-capacity) * time.Millisecond
		}
		now = now.Add(50 * time.Millisecond)
		l.Adjust(now, late, held)
	}
	qt.Check(t, held > capacity*8/10 && held < capacity*12/10, qt.IsTrue, qt.Commentf("%d held", held))
	before := l.Most()
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, time.Millisecond, 10)
	}
	qt.Check(t, l.Most() > 5*before, qt.IsTrue)
}

// A team that floods the router does not push the small ones out.
func TestAFloodLeavesRoomForOthers(t *testing.T) {
	for _, tc := range []struct {
		most, held, own int
		want            bool
	}{
		{0, 5000, 5000, true},
		{100, 99, 99, true},
		{100, 100, 95, false},
		{100, 100, 5, true},
		{100, 149, 12, true},
		{100, 149, 13, false},
		{100, 150, 0, false},
	} {
		qt.Check(t, Admits(tc.most, tc.held, tc.own), qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// Refusals alone can make a router late; fewer streams would not help.
func TestRefusalsDoNotTakeThePlacesOfStreams(t *testing.T) {
	l, now := NewLimit(DefaultLimitConfig()), time.Unix(1000, 0)
	l.Adjust(now, 80*time.Millisecond, 300)
	before := l.Most()
	qt.Check(t, before > 0, qt.IsTrue)
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, 80*time.Millisecond, 20)
	}
	qt.Check(t, l.Most(), qt.Equals, before)
}

// Pattern: the balancer brings one caller's flood to one small router, which
// refuses 1,500 requests a second and reads 40 ms late while it passes on 200
// streams. Ground: these are in time all the same, and are what the flooding
// team gets of its share (seen on plgc-port-grown, FAIR): they are not fewer
// for that.
func TestALateRouterKeepsItsStreams(t *testing.T) {
	l, now := NewLimit(DefaultLimitConfig()), time.Unix(1000, 0)
	l.Adjust(now, 80*time.Millisecond, 250)
	before := l.Most()
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, 40*time.Millisecond, before)
	}
	qt.Check(t, l.Most(), qt.Equals, before)
}

// A calm router keeps its memory small, a late one its processor time; between
// the two it changes nothing, so that it does not go back and forth.
func TestALateRouterCollectsLess(t *testing.T) {
	growth := CalmGrowth
	for _, step := range []struct {
		late time.Duration
		want int
	}{
		{time.Millisecond, CalmGrowth}, {8 * time.Millisecond, CalmGrowth}, {20 * time.Millisecond, LateGrowth},
		{8 * time.Millisecond, LateGrowth}, {4 * time.Millisecond, LateGrowth}, {time.Millisecond, CalmGrowth},
	} {
		growth = HeapGrowth(growth, step.late)
		qt.Check(t, growth, qt.Equals, step.want, qt.Commentf("%v", step.late))
	}
}

// Pattern: one caller floods a data centre of 21 routers, of which 18 are small.
// The balancer takes them for it in one order, in which four small ones come
// first. Ground: while the first of them was ready again after six seconds, the
// flood went to and fro between the four for the whole day and the large one that
// comes fifth idled; it has to be found within some three seconds a router.
func TestAFloodFindsTheRouterThatBearsIt(t *testing.T) {
	const (
		small, fleet = 4, 103
		length       = 60 * time.Second
		// noticed is how long the balancer goes on with a router that is not ready.
		noticed = 2 * time.Second
	)
	now := time.Unix(1000, 0)
	var trackers [small]*Tracker
	var out [small]time.Time
	for i := range trackers {
		trackers[i] = New(DefaultConfig())
		trackers[i].SetRouters(fleet)
	}
	var borne time.Duration
	for end := now.Add(length); now.Before(end); now = now.Add(every) {
		at := small
		for i, tr := range trackers {
			if !tr.Saturated() {
				out[i] = now
			}
			if now.Sub(out[i]) < noticed {
				at = i
				break
			}
		}
		for i, tr := range trackers {
			late := time.Millisecond
			if i == at {
				late = 150 * time.Millisecond
			}
			tr.Observe(now, late)
		}
		if at == small {
			borne += every
		}
	}
	qt.Check(t, borne > length*7/10, qt.IsTrue, qt.Commentf("the large router had it for %v", borne))
}

// In a small fleet each router is missed: the pause is as short as the balancer
// allows.
func TestThePauseFollowsTheFleet(t *testing.T) {
	for routers, want := range map[int]time.Duration{1: 6 * time.Second, 3: 6 * time.Second, 6: 6 * time.Second, 30: 9 * time.Second, 100: 30 * time.Second, 800: 30 * time.Second} {
		tr := New(DefaultConfig())
		tr.SetRouters(routers)
		qt.Check(t, tr.least, qt.Equals, want, qt.Commentf("%d routers", routers))
	}
}

// A router that falls behind closes what comes new before it is saturated, and
// takes connections again as soon as it has caught up, so that it never refuses
// all of them for long while it says that it is ready.
func TestARouterThatFallsBehindShedsAndRecovers(t *testing.T) {
	tr, now := New(DefaultConfig()), time.Unix(1000, 0)
	now = observe(tr, now, 5*time.Millisecond, time.Second)
	qt.Check(t, tr.Sheds(), qt.IsFalse)
	now = observe(tr, now, 35*time.Millisecond, time.Second)
	qt.Check(t, tr.Sheds(), qt.IsTrue)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
	observe(tr, now, 5*time.Millisecond, 200*time.Millisecond)
	qt.Check(t, tr.Sheds(), qt.IsFalse)
}
