package repeats

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var cfg = Config{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50, Use: 0.8}

func TestFailingServiceStaysWithinBudget(t *testing.T) {
	b, now := New(cfg), time.Unix(1000, 0)
	taken := 0
	for range 1000 {
		b.Request(now)
		if b.Take(now, 5).Granted {
			taken++
		}
		now = now.Add(10 * time.Millisecond)
	}
	// 0.8 x (0.2 x 1000 + 50 / 5)
	qt.Check(t, taken, qt.Equals, 168)
}

func TestAllowanceIsRestoredAfterWindow(t *testing.T) {
	b, now := New(cfg), time.Unix(1000, 0)
	for b.Take(now, 1).Granted {
	}
	qt.Check(t, b.Take(now.Add(9*time.Second), 1).Granted, qt.IsFalse)
	qt.Check(t, b.Take(now.Add(11*time.Second), 1).Granted, qt.IsTrue)
}

// In any window the retries stay within the limit, for any sequence of requests and retries.
func TestEveryWindowStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(cfg), time.Unix(1000, 0)
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
			// Requests of the window and of the window before it count.
			requests := 0.0
			for _, e := range events {
				d := e.at.Sub(first.at)
				if !e.repeat && d < cfg.Window && d > -cfg.Window {
					requests++
				}
			}
			if repeats > cfg.Ratio*requests+cfg.Allowance/2 {
				t.Fatalf("%v retries for %v requests", repeats, requests)
			}
		}
	})
}
