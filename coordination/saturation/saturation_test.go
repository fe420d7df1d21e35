package saturation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const every = 25 * time.Millisecond

// observe feeds the lateness for the time.
func observe(t *Tracker, late, span time.Duration) {
	for range span / every {
		t.Observe(late)
	}
}

// One caller floods a small router: it is saturated within half a second, and until
// its input is read in time again.
func TestAFloodedRouterIsSaturatedUntilItIsOver(t *testing.T) {
	tr := New(DefaultConfig())
	observe(tr, time.Millisecond, 5*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
	observe(tr, 100*time.Millisecond, 500*time.Millisecond)
	qt.Check(t, tr.Saturated(), qt.IsTrue)
	observe(tr, 20*time.Millisecond, 5*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsTrue)
	qt.Check(t, tr.Calm(), qt.IsFalse)
	observe(tr, time.Millisecond, time.Second)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
	qt.Check(t, tr.Calm(), qt.IsTrue)
}

// A single long pause, such as a freeze or a collection, is no saturation.
func TestASingleLateTimerIsNoSaturation(t *testing.T) {
	tr := New(DefaultConfig())
	tr.Observe(200 * time.Millisecond)
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
		l.Adjust(now, time.Millisecond, l.Most())
	}
	qt.Check(t, l.Most() > 5*before, qt.IsTrue)
}

// Guards against a router that forgets in a quiet moment what it can pass on, so that the
// next wave of a flood makes it late once more.
func TestAQuietMomentDoesNotUndoTheLimit(t *testing.T) {
	l, now := NewLimit(DefaultLimitConfig()), time.Unix(1000, 0)
	l.Adjust(now, 80*time.Millisecond, 200)
	before := l.Most()
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, time.Millisecond, 10)
	}
	qt.Check(t, l.Most() >= before && l.Most() < before*13/10, qt.IsTrue, qt.Commentf("%d after %d", l.Most(), before))
	// In half a minute more it is forgotten all the same.
	for range 240 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, time.Millisecond, 10)
	}
	qt.Check(t, l.Most() > 2*before, qt.IsTrue)
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
