package saturation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const interval = 25 * time.Millisecond

// observe feeds the lateness to the tracker for the time span.
func observe(t *Tracker, late, span time.Duration) {
	for range span / interval {
		t.Observe(late)
	}
}

// One caller floods a small router: the router is saturated within half a second and stays
// so until its input is read on time again.
func TestFloodedRouterStaysSaturatedUntilFloodEnds(t *testing.T) {
	tr := New(DefaultConfig())
	observe(tr, time.Millisecond, 5*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
	observe(tr, 100*time.Millisecond, 500*time.Millisecond)
	qt.Check(t, tr.Saturated(), qt.IsTrue)
	observe(tr, 20*time.Millisecond, 5*time.Second)
	qt.Check(t, tr.Saturated(), qt.IsTrue)
	qt.Check(t, tr.OnTime(), qt.IsFalse)
	observe(tr, time.Millisecond, time.Second)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
	qt.Check(t, tr.OnTime(), qt.IsTrue)
}

// A single long pause, such as a freeze or a garbage collection, does not count as
// saturation.
func TestSingleLateTimerDoesNotSaturate(t *testing.T) {
	tr := New(DefaultConfig())
	tr.Observe(200 * time.Millisecond)
	qt.Check(t, tr.Saturated(), qt.IsFalse)
}

// Under a flood of streams that exceeds the processor, the limit settles at what the
// processor can relay, and rises again afterwards.
func TestLimitSettlesAtProcessorCapacity(t *testing.T) {
	const capacity = 200
	l, now, open := NewLimit(DefaultLimitConfig()), time.Unix(1000, 0), 0
	for range 400 {
		for range 20 {
			if Admits(l.Most(), open, open) {
				open++
			}
		}
		open -= open / 20
		late := time.Millisecond
		if open > capacity {
			late = time.Duration(open-capacity) * time.Millisecond
		}
		now = now.Add(50 * time.Millisecond)
		l.Adjust(now, late, open)
	}
	qt.Check(t, open > capacity*8/10 && open < capacity*12/10, qt.IsTrue, qt.Commentf("%d held", open))
	before := l.Most()
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, time.Millisecond, l.Most())
	}
	qt.Check(t, l.Most() > 5*before, qt.IsTrue)
}

// Guards against a limit that grows far above the router's capacity during a period of low
// load, so that the next wave of a flood makes the router late again.
func TestIdlePeriodDoesNotUndoLimit(t *testing.T) {
	l, now := NewLimit(DefaultLimitConfig()), time.Unix(1000, 0)
	l.Adjust(now, 80*time.Millisecond, 200)
	before := l.Most()
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, time.Millisecond, 10)
	}
	qt.Check(t, l.Most() >= before && l.Most() < before*13/10, qt.IsTrue, qt.Commentf("%d after %d", l.Most(), before))
	// After half a minute more the old limit no longer holds.
	for range 240 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, time.Millisecond, 10)
	}
	qt.Check(t, l.Most() > 2*before, qt.IsTrue)
}

// A team that floods the router does not starve small teams.
func TestFloodLeavesRoomForOtherTeams(t *testing.T) {
	for _, tc := range []struct {
		limit, open, own int
		want             bool
	}{
		{0, 5000, 5000, true},
		{100, 99, 99, true},
		{100, 100, 95, false},
		{100, 100, 5, true},
		{100, 149, 12, true},
		{100, 149, 13, false},
		{100, 150, 0, false},
	} {
		qt.Check(t, Admits(tc.limit, tc.open, tc.own), qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// Refusals alone can make a router late; a lower stream limit would not help then.
func TestRefusalsDoNotShrinkStreamLimit(t *testing.T) {
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

// Guards against a stream limit that shrinks though the open streams are served in time.
// The balancer sends one caller's flood to one small router, which refuses 1,500 requests a
// second and reads 40 ms late while it relays 200 streams. These streams are this
// router's portion of the flooding team's share (seen in a test run).
func TestModeratelyLateRouterKeepsItsLimit(t *testing.T) {
	l, now := NewLimit(DefaultLimitConfig()), time.Unix(1000, 0)
	l.Adjust(now, 80*time.Millisecond, 250)
	before := l.Most()
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		l.Adjust(now, 40*time.Millisecond, before)
	}
	qt.Check(t, l.Most(), qt.Equals, before)
}

// A router that is on time keeps its heap small, a late one saves processor time. Between
// the two thresholds the target does not change, so that it does not oscillate.
func TestLateRouterCollectsGarbageLess(t *testing.T) {
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
