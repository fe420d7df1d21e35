package fairshare

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestLevelFillsUpEvenly(t *testing.T) {
	for _, tc := range []struct {
		asked    []float64
		capacity float64
		want     float64
	}{
		{[]float64{10, 20, 30}, 60, math.Inf(1)},
		{[]float64{10, 20, 100}, 60, 30},
		{[]float64{100, 100, 100}, 60, 20},
		{[]float64{1, 100, 100}, 61, 30},
		{nil, 60, math.Inf(1)},
		{[]float64{10}, 0, math.Inf(1)},
	} {
		got := Level(tc.asked, tc.capacity)
		qt.Check(t, got == tc.want || math.Abs(got-tc.want) < 1e-9, qt.IsTrue, qt.Commentf("%v: %v", tc, got))
	}
}

// Max-min: the shares fill the capacity, and nobody gets more than the level
// unless all get all that they ask for.
func TestSharesFillTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 40).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		level := Level(asked, capacity)
		var all, given float64
		for _, a := range asked {
			all += a
			given += min(a, level)
		}
		if want := min(all, capacity); math.Abs(given-want) > 1e-6*want+1e-9 {
			t.Fatalf("given %v of %v", given, want)
		}
	})
}

// A team that asks for many times its usual is beyond its share; the small
// ones beside it are not.
func TestAFloodingTeamIsBeyondItsShare(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	flood, small := IDOf("flood"), IDOf("small")
	for range 40 {
		m.Ask(now, flood, 1000)
		m.Begin(now, flood, 500)
		m.Ask(now, small, 50)
		m.Begin(now, small, 50)
		now = now.Add(100 * time.Millisecond)
	}
	const capacity = 16000
	qt.Check(t, m.Standing(now, flood, capacity) > 1, qt.IsTrue)
	qt.Check(t, m.Standing(now, small, capacity) < 0.5, qt.IsTrue)
	// When the flood is over, all that is asked fits again.
	now = now.Add(5 * time.Second)
	qt.Check(t, m.Standing(now, flood, capacity), qt.Equals, 0.0)
}

// What another router gave the team counts, until its word is old.
func TestTheUseAtOtherRoutersCounts(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	a, b := IDOf("a"), IDOf("b")
	m.Ask(now, a, 100)
	m.Begin(now, a, 10)
	m.Ask(now, b, 100)
	m.Reported(now, "other", map[TeamID]Use{a: {Asked: 900, Begun: 90}})
	qt.Check(t, m.Standing(now, a, 100), qt.Equals, 2.0)
	qt.Check(t, m.Standing(now, b, 100), qt.Equals, 0.0)
	now = now.Add(ReportTime + time.Millisecond)
	qt.Check(t, m.Standing(now, a, 100) < 1, qt.IsTrue)
}

// Pattern: engines are full though all that is asked fits into the named
// capacity, and a large team's requests crowd a smaller one's out. Ground: on a
// fleet of 30 engines a team that asked for 2.2 M tokens in six seconds got .98 M
// beside one that got 7.7 M, while both were believed to be within their shares.
func TestACrowdingTeamIsBeyondItsShareOfWhatIsServed(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	large, small, tiny := IDOf("large"), IDOf("small"), IDOf("tiny")
	for range 40 {
		m.Ask(now, large, 2000)
		m.Begin(now, large, 1290)
		m.Ask(now, small, 370)
		m.Begin(now, small, 160)
		m.Ask(now, tiny, 20)
		m.Begin(now, tiny, 20)
		now = now.Add(100 * time.Millisecond)
	}
	const named = 1e9
	qt.Check(t, m.Standing(now, large, named), qt.Equals, 0.0)
	qt.Check(t, m.ServedStanding(large) > 1.1, qt.IsTrue)
	qt.Check(t, m.ServedStanding(small) < 0.5, qt.IsTrue)
	qt.Check(t, m.ServedStanding(tiny) < 0.1, qt.IsTrue)
}

// While nearly all that is asked is served nobody crowds anybody out, and a
// single team that asks for more than there is takes only what is left.
func TestWhatIsLeftCrowdsNobodyOut(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	large, small := IDOf("large"), IDOf("small")
	m.Ask(now, large, 1000)
	m.Begin(now, large, 960)
	m.Ask(now, small, 100)
	m.Begin(now, small, 100)
	m.Standing(now, large, 1e9)
	qt.Check(t, m.ServedStanding(large), qt.Equals, 0.0)
	m.Ask(now, large, 4000)
	now = now.Add(2 * levelTime)
	m.Standing(now, large, 1e9)
	qt.Check(t, m.ServedStanding(large), qt.Equals, 1.0)
}
