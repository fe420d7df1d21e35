package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/limit"
)

// engine is a fake whose gap between tokens grows with what runs and whose
// queue delays the first token. What it shows lags by some windows.
type engine struct {
	slots  int
	step   time.Duration // between tokens with one request
	slope  float64       // part of a step that each further request adds
	first  time.Duration // time to the first token with a free slot
	lag    int
	shown  []limit.Window
	demand int
}

// window returns what is seen of one window at the limit.
func (e *engine) window(limited int) limit.Window {
	running := min(limited, e.demand)
	w := limit.Window{Firsts: 100, Gaps: 1000, Peak: running}
	inside := min(running, e.slots)
	w.Gap = time.Duration(float64(e.step) * (1 + e.slope*float64(inside-1)))
	w.First = e.first + time.Duration(running-inside)*time.Second
	w.Report = &limit.Report{Running: inside, Waiting: running - inside, Slots: e.slots}
	e.shown = append(e.shown, w)
	return e.shown[max(len(e.shown)-1-e.lag, 0)]
}

// knee is the largest limit at which the gap is within the target.
func (e *engine) knee(target time.Duration) int {
	n := 1
	for float64(e.step)*(1+e.slope*float64(n)) <= float64(target) && n < e.slots {
		n++
	}
	return n
}

func config(largest int) limit.Config {
	cfg := limit.DefaultConfig()
	cfg.Max = largest
	return cfg
}

func TestLimitSettlesBelowTheKneeUnderLag(t *testing.T) {
	for _, lag := range []int{0, 1, 2, 3} {
		for _, slope := range []float64{0.02, 0.05, 0.2, 1} {
			e := &engine{slots: 64, step: 20 * time.Millisecond, slope: slope, first: 100 * time.Millisecond, lag: lag, demand: 100}
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

func TestLimitKeepsOutOfTheEnginesQueue(t *testing.T) {
	e := &engine{slots: 6, step: 10 * time.Millisecond, slope: 0.02, first: 100 * time.Millisecond, lag: 1, demand: 50}
	l := limit.New(config(32))
	l.Observe(e.window(l.Limit()))
	qt.Assert(t, l.Limit(), qt.Equals, 6)
}

// A first token that is late for another reason, such as long prompts, may
// not cost capacity for ever.
func TestDecreasesWithoutEffectAreTakenBack(t *testing.T) {
	e := &engine{slots: 16, step: 10 * time.Millisecond, slope: 0.02, first: 3 * time.Second, lag: 1, demand: 50}
	l := limit.New(config(16))
	full := 0
	for range 400 {
		if l.Observe(e.window(l.Limit())) == 16 {
			full++
		}
	}
	qt.Assert(t, full >= 280, qt.IsTrue, qt.Commentf("full in %d of 400", full))
}

func TestLimitRisesOnlyWhenUsed(t *testing.T) {
	e := &engine{slots: 64, step: 20 * time.Millisecond, slope: 0.2, first: time.Millisecond, demand: 100}
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

func TestBoundsAreNeverPassed(t *testing.T) {
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
