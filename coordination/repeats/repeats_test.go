package repeats

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var cfg = Config{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50, Use: 0.8}

// A service of which every request fails gets half of what Use leaves of ratio and allowance in each
// window: the other half is what the requests of the window before may be spent on.
func TestFailingServiceStaysWithinBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(cfg, now)
	taken := 0
	for range 1000 {
		b.Request(now)
		if b.Take(now, 5).Granted {
			taken++
		}
		now = now.Add(10 * time.Millisecond)
	}
	// 0.8 x (0.2 x 1000 + 50 / 5) / 2, less a part of a retry.
	qt.Check(t, taken, qt.Equals, 83)
}

// takeAll takes retries until none is left.
func takeAll(b *Budget, now time.Time, routers int) (taken int) {
	for b.Take(now, routers).Granted {
		taken++
	}
	return taken
}

// A process earns its allowance: it has none as it starts, half of its part after a window and no
// more later, and half again in the window after that was spent.
func TestAllowanceIsEarned(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(cfg, now)
	qt.Check(t, takeAll(b, now, 1), qt.Equals, 0)
	now = now.Add(time.Minute)
	qt.Check(t, takeAll(b, now, 1), qt.Equals, 20)
	qt.Check(t, takeAll(b, now, 1), qt.Equals, 0)
	again := 0
	for range 10 {
		now = now.Add(time.Second)
		again += takeAll(b, now, 1)
	}
	qt.Check(t, again, qt.Equals, 20)
}

// In any window the retries stay within what its requests allow, or those of the window before it,
// for any sequence of requests and retries.
func TestEveryWindowStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := New(cfg, now.Add(-time.Minute))
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "repeat") {
				if b.Take(now, 2).Granted {
					events = append(events, event{now, true})
				}
			} else {
				b.Request(now)
				events = append(events, event{at: now})
			}
		}
		for i, first := range events {
			repeats := 0.0
			for _, e := range events[i:] {
				if e.repeat && e.at.Sub(first.at) < cfg.Window {
					repeats++
				}
			}
			requests, before := 0.0, 0.0
			for _, e := range events {
				switch d := e.at.Sub(first.at); {
				case e.repeat || d >= cfg.Window:
				case d >= 0:
					requests++
				case d >= -cfg.Window:
					before++
				}
			}
			if repeats > cfg.Ratio*max(requests, before)+cfg.Allowance/2 {
				t.Fatalf("%v retries for %v requests, %v before", repeats, requests, before)
			}
		}
	})
}

// Guards against retries beyond a smaller ratio, or a shorter window, that came into force while credits of the
// former one were left.
func TestCreditsStayWithinChangedLimits(t *testing.T) {
	change := func(change func(*Config)) int {
		now := time.Unix(1000, 0)
		b := New(cfg, now)
		for range 1000 {
			b.Request(now)
			now = now.Add(10 * time.Millisecond)
		}
		changed := cfg
		changed.Allowance = 0
		change(&changed)
		b.SetConfig(changed)
		return takeAll(b, now, 5)
	}
	qt.Check(t, change(func(*Config) {}) >= 70, qt.IsTrue)
	qt.Check(t, change(func(c *Config) { c.Ratio = 0.02 }) <= 8, qt.IsTrue)
	qt.Check(t, change(func(c *Config) { c.Window = time.Second }) <= 8, qt.IsTrue)
	qt.Check(t, change(func(c *Config) { c.Ratio = 0 }), qt.Equals, 0)
}

// BenchmarkTake measures a request and a decision on a retry.
func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	budget := New(cfg, now.Add(-time.Minute))
	for b.Loop() {
		budget.Request(now)
		budget.Take(now, 800)
		now = now.Add(time.Millisecond)
	}
}
