package fairshare

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestLevelDividesEvenly(t *testing.T) {
	for _, tc := range []struct {
		requested []float64
		capacity  float64
		want      float64
	}{
		{[]float64{10, 20, 30}, 60, math.Inf(1)},
		{[]float64{10, 20, 100}, 60, 30},
		{[]float64{100, 100, 100}, 60, 20},
		{[]float64{1, 100, 100}, 61, 30},
		{nil, 60, math.Inf(1)},
		{[]float64{10}, 0, math.Inf(1)},
	} {
		got := Level(tc.requested, tc.capacity)
		qt.Check(t, got == tc.want || math.Abs(got-tc.want) < 1e-9, qt.IsTrue, qt.Commentf("%v: %v", tc, got))
	}
}

// Max-min: the shares fill the capacity, and no team gets more than the level unless all
// teams get all that they request.
func TestSharesFillTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requested := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 40).Draw(t, "requested")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		level := Level(requested, capacity)
		var total, served float64
		for _, a := range requested {
			total += a
			served += min(a, level)
		}
		if want := min(total, capacity); math.Abs(served-want) > 1e-6*want+1e-9 {
			t.Fatalf("served %v, want %v", served, want)
		}
	})
}

// A team that requests many times its usual load exceeds its share; the small teams beside
// it don't.
func TestFloodingTeamExceedsItsShare(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	flood, small := IDOf("flood"), IDOf("small")
	for range 40 {
		m.Ask(now, flood, 1000)
		m.RecordStart(now, flood, 500)
		m.Ask(now, small, 50)
		m.RecordStart(now, small, 50)
		now = now.Add(100 * time.Millisecond)
	}
	const capacity = 16000
	qt.Check(t, m.Standing(now, flood, capacity) > 1, qt.IsTrue)
	qt.Check(t, m.Standing(now, small, capacity) < 0.5, qt.IsTrue)
	// After the flood all requests fit again.
	now = now.Add(5 * time.Second)
	qt.Check(t, m.Standing(now, flood, capacity), qt.Equals, 0.0)
}

// What another router served the team counts until its report expires.
func TestUsageAtOtherRoutersCounts(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	a, b := IDOf("a"), IDOf("b")
	m.Ask(now, a, 100)
	m.RecordStart(now, a, 10)
	m.Ask(now, b, 100)
	m.SetPeerUse(now, "other", map[TeamID]Use{a: {Requested: 900, Started: 90}})
	qt.Check(t, m.Standing(now, a, 100), qt.Equals, 2.0)
	qt.Check(t, m.Standing(now, b, 100), qt.Equals, 0.0)
	now = now.Add(ReportTime + time.Millisecond)
	qt.Check(t, m.Standing(now, a, 100) < 1, qt.IsTrue)
}

// Guards against a large team that starves a smaller one when backend servers are full
// although all requests fit into the configured capacity. On a fleet of 30 backend servers
// a team that requested 2.2 M tokens in six seconds got 0.98 M beside one that got 7.7 M,
// while both counted as within their shares.
func TestStarvingTeamExceedsItsShareOfService(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	large, small, tiny := IDOf("large"), IDOf("small"), IDOf("tiny")
	for range 40 {
		m.Ask(now, large, 2000)
		m.RecordStart(now, large, 1290)
		m.Ask(now, small, 370)
		m.RecordStart(now, small, 160)
		m.Ask(now, tiny, 20)
		m.RecordStart(now, tiny, 20)
		now = now.Add(100 * time.Millisecond)
	}
	const configured = 1e9
	qt.Check(t, m.Standing(now, large, configured), qt.Equals, 0.0)
	qt.Check(t, m.ServedStanding(large) > 1.1, qt.IsTrue)
	qt.Check(t, m.ServedStanding(small) < 0.5, qt.IsTrue)
	qt.Check(t, m.ServedStanding(tiny) < 0.1, qt.IsTrue)
}

// While nearly all requests are served no team starves another, and a single team that
// requests more than the capacity takes only what is left.
func TestUnusedCapacityStarvesNoTeam(t *testing.T) {
	m, now := NewMeter(4*time.Second), time.Unix(1000, 0)
	large, small := IDOf("large"), IDOf("small")
	m.Ask(now, large, 1000)
	m.RecordStart(now, large, 960)
	m.Ask(now, small, 100)
	m.RecordStart(now, small, 100)
	m.Standing(now, large, 1e9)
	qt.Check(t, m.ServedStanding(large), qt.Equals, 0.0)
	m.Ask(now, large, 4000)
	now = now.Add(2 * refreshPeriod)
	m.Standing(now, large, 1e9)
	qt.Check(t, m.ServedStanding(large), qt.Equals, 1.0)
}
