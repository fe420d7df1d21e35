// Package saturation decides whether a router has more work than its processor
// can do, from how late its timers fire.
//
// The pattern that it answers: the balancer chooses a router by a hash of the
// caller, so that one caller who sends many times its usual falls on one small
// instance, while others idle. A router that says that it is not ready gets no
// new connections, and the caller's next ones go to others.
//
// A Tracker is pure.
//
// Direct routers use it.
package saturation

import "time"

// Config holds the thresholds of a Tracker.
type Config struct {
	// Enter is the mean lateness from which the router is saturated. Default
	// 45ms: a caller of a plain service still has its answer in time, and the
	// first token of a stream is delayed by less than a tenth of its objective.
	Enter time.Duration
	// Leave is the mean lateness below which it may be ready again. Default
	// 10ms.
	Leave time.Duration
	// Pause is the least time for which it stays so; it doubles up to
	// LongestPause while saturation comes back within twice the pause.
	// Default 6s and 24s: the balancer needs two seconds to notice, and the
	// flood should have found a larger instance before.
	Pause        time.Duration
	LongestPause time.Duration
	// Gain is the weight of one observation in the mean. Default 0.1, which
	// at one each 25ms forgets in a quarter of a second.
	Gain float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Enter: 45 * time.Millisecond, Leave: 10 * time.Millisecond, Pause: 6 * time.Second, LongestPause: 24 * time.Second, Gain: 0.1}
}

// Tracker follows the lateness of timers. It must be used by one goroutine at
// a time.
type Tracker struct {
	cfg       Config
	mean      float64
	saturated bool
	began     time.Time
	ended     time.Time
	pause     time.Duration
}

// New returns the tracker of a router at rest.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, pause: cfg.Pause} }

// Observe takes how late a timer fired. It reports whether the router became
// saturated or is so no more.
func (t *Tracker) Observe(now time.Time, late time.Duration) (changed bool) {
	t.mean += t.cfg.Gain * (float64(late) - t.mean)
	switch {
	case !t.saturated && t.mean > float64(t.cfg.Enter):
		t.enter(now)
	case t.saturated && t.mean < float64(t.cfg.Leave) && now.Sub(t.began) >= t.pause:
		t.saturated, t.ended = false, now
	default:
		return false
	}
	return true
}

func (t *Tracker) enter(now time.Time) {
	t.saturated, t.began = true, now
	if !t.ended.IsZero() && now.Sub(t.ended) < 2*t.pause {
		t.pause = min(2*t.pause, t.cfg.LongestPause)
	} else {
		t.pause = t.cfg.Pause
	}
}

// Saturated reports whether the router has too much work.
func (t *Tracker) Saturated() bool { return t.saturated }

// Mean returns the mean lateness.
func (t *Tracker) Mean() time.Duration { return time.Duration(t.mean) }
