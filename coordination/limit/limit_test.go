package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/limit"
)

// engine is a fake engine. Its time between tokens grows with the number of
// running requests, and requests that wait in its queue get their first token
// late. Its measurements lag by a number of windows.
type engine struct {
	slots      int
	baseGap    time.Duration // between tokens with one request
	gapGrowth  float64       // fraction of baseGap that each further request adds
	baseFirst  time.Duration // time to the first token with a free slot
	lagWindows int
	measured   []limit.Window
	demand     int
}

// window returns the lagging measurements of one window at the limit.
func (e *engine) window(maxRunning int) limit.Window {
	running := min(maxRunning, e.demand)
	w := limit.Window{Firsts: 100, Gaps: 1000, Peak: running}
	inSlots := min(running, e.slots)
	w.Gap = time.Duration(float64(e.baseGap) * (1 + e.gapGrowth*float64(inSlots-1)))
	w.First = e.baseFirst + time.Duration(running-inSlots)*time.Second
	w.Report = &limit.Report{Running: inSlots, Waiting: running - inSlots, Slots: e.slots}
	e.measured = append(e.measured, w)
	return e.measured[max(len(e.measured)-1-e.lagWindows, 0)]
}

// knee returns the largest limit at which the time between tokens is within the
// target.
func (e *engine) knee(target time.Duration) int {
	n := 1
	for float64(e.baseGap)*(1+e.gapGrowth*float64(n)) <= float64(target) && n < e.slots {
		n++
	}
	return n
}

func config(maxLimit int) limit.Config {
	cfg := limit.DefaultConfig()
	cfg.Max = maxLimit
	return cfg
}

func TestLimitSettlesBelowTheKneeUnderLag(t *testing.T) {
	for _, lag := range []int{0, 1, 2, 3} {
		for _, slope := range []float64{0.02, 0.05, 0.2, 1} {
			e := &engine{slots: 64, baseGap: 20 * time.Millisecond, gapGrowth: slope, baseFirst: 100 * time.Millisecond, lagWindows: lag, demand: 100}
			l := limit.New(config(64))
			knee := e.knee(50 * time.Millisecond)
			low, high, above := 64, 0, 0
			for i := range 600 {
				n := l.Observe(e.window(l.Limit()))
				if i < 100 {
					continue
				}
				low, high = min(low, n), max(high, n)
				if n > knee {
					above++
				}
			}
			c := qt.New(t)
			name := qt.Commentf("lag %d slope %v: knee %d, limit %d..%d, above in %d of 500", lag, slope, knee, low, high, above)
			c.Check(low >= knee*3/4, qt.IsTrue, name)
			c.Check(high <= knee+2, qt.IsTrue, name)
			c.Check(above <= 150, qt.IsTrue, name)
		}
	}
}

func TestLimitStaysWithinEngineSlots(t *testing.T) {
	e := &engine{slots: 6, baseGap: 10 * time.Millisecond, gapGrowth: 0.02, baseFirst: 100 * time.Millisecond, lagWindows: 1, demand: 50}
	l := limit.New(config(32))
	l.Observe(e.window(l.Limit()))
	qt.Assert(t, l.Limit(), qt.Equals, 6)
}

// Guards against a limit that stays low although the first token is late for
// another reason, such as long prompts: that would waste capacity.
func TestDecreasesWithoutEffectAreReverted(t *testing.T) {
	e := &engine{slots: 16, baseGap: 10 * time.Millisecond, gapGrowth: 0.02, baseFirst: 3 * time.Second, lagWindows: 1, demand: 50}
	l := limit.New(config(16))
	full := 0
	for range 400 {
		if l.Observe(e.window(l.Limit())) == 16 {
			full++
		}
	}
	qt.Assert(t, full >= 280, qt.IsTrue, qt.Commentf("full in %d of 400", full))
}

func TestLimitRisesOnlyUnderDemand(t *testing.T) {
	e := &engine{slots: 64, baseGap: 20 * time.Millisecond, gapGrowth: 0.2, baseFirst: time.Millisecond, demand: 100}
	l := limit.New(config(64))
	for range 60 {
		l.Observe(e.window(l.Limit()))
	}
	settled := l.Limit()
	e.demand = 1
	for range 200 {
		l.Observe(e.window(l.Limit()))
	}
	qt.Assert(t, l.Limit() <= settled+1, qt.IsTrue, qt.Commentf("%d, then %d", settled, l.Limit()))
}

func TestLimitStaysWithinMinAndMax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config(rapid.IntRange(2, 20).Draw(t, "max"))
		cfg.Min = rapid.IntRange(1, cfg.Max).Draw(t, "min")
		l := limit.New(cfg)
		for range 100 {
			w := limit.Window{
				First:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "first")) * time.Millisecond,
				Gap:    time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond,
				Firsts: rapid.IntRange(0, 40).Draw(t, "firsts"),
				Gaps:   rapid.IntRange(0, 40).Draw(t, "gaps"),
				Peak:   rapid.IntRange(0, 30).Draw(t, "peak"),
			}
			if rapid.Bool().Draw(t, "report") {
				w.Report = &limit.Report{Slots: rapid.IntRange(0, 30).Draw(t, "slots")}
			}
			if n := l.Observe(w); n < cfg.Min || n > cfg.Max {
				t.Fatalf("limit %d not in %d..%d", n, cfg.Min, cfg.Max)
			}
		}
	})
}
