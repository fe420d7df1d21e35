// Package saturation detects from the lateness of input reads whether a router has more
// work than its processor can do, and bounds its open streams accordingly.
//
// It answers this pattern: the balancer chooses a router by a hash of the caller, so a
// single caller that sends many times its usual load hits one small instance while others
// idle. A saturated router bounds its streams, does not route on stale state and, through
// coordination/rotation, leaves the balancer's rotation. Which new connections it reads is
// decided by coordination/intake.
//
// A Tracker performs no I/O and reads no clock.
//
// Direct routers use this package.
package saturation

import "time"

// Config holds the thresholds of a Tracker.
type Config struct {
	// Enter is the mean lateness above which the router is saturated. Default 45ms: a caller
	// of a plain service still gets its answer in time, and the first token of a stream is
	// delayed by less than a tenth of its latency objective.
	Enter time.Duration
	// Leave is the mean lateness below which the router is on time again. Default 10ms.
	Leave time.Duration
	// Gain is the weight of one observation in the mean. Default 0.1, which at one
	// observation each 25ms averages over about a quarter of a second.
	Gain float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Enter: 45 * time.Millisecond, Leave: 10 * time.Millisecond, Gain: 0.1}
}

// Tracker follows the lateness of input. It must be used by one goroutine at a time.
type Tracker struct {
	cfg       Config
	mean      float64
	saturated bool
}

// New returns the tracker of an idle router.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Observe records how late input was read. It reports whether the router became saturated
// or stopped being so.
func (t *Tracker) Observe(late time.Duration) (changed bool) {
	t.mean += t.cfg.Gain * (float64(late) - t.mean)
	switch {
	case !t.saturated && t.mean > float64(t.cfg.Enter):
		t.saturated = true
	case t.saturated && t.OnTime():
		t.saturated = false
	default:
		return false
	}
	return true
}

// Saturated reports whether the router is saturated, which lasts until it is on time again.
func (t *Tracker) Saturated() bool { return t.saturated }

// OnTime reports whether input is read without notable delay.
func (t *Tracker) OnTime() bool { return t.mean < float64(t.cfg.Leave) }

// Mean returns the mean lateness.
func (t *Tracker) Mean() time.Duration { return time.Duration(t.mean) }
