// Package saturation decides whether a router has more work than its processor
// can do, from how late it reads its input.
//
// The pattern that it answers: the balancer chooses a router by a hash of the
// caller, so that one caller who sends many times its usual falls on one small
// instance, while others idle. A router that has too much bounds its streams, sends
// nothing on old knowledge and, by coordination/rotation, leaves the balancer's rotation;
// which new connections it reads is coordination/intake's.
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
	// Leave is the mean lateness below which it is calm again. Default 10ms.
	Leave time.Duration
	// Gain is the weight of one observation in the mean. Default 0.1, which
	// at one each 25ms forgets in a quarter of a second.
	Gain float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Enter: 45 * time.Millisecond, Leave: 10 * time.Millisecond, Gain: 0.1}
}

// Tracker follows the lateness of input. It must be used by one goroutine at a
// time.
type Tracker struct {
	cfg       Config
	mean      float64
	saturated bool
}

// New returns the tracker of a router at rest.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Observe takes how late input was read. It reports whether the router became
// saturated or is so no more.
func (t *Tracker) Observe(late time.Duration) (changed bool) {
	t.mean += t.cfg.Gain * (float64(late) - t.mean)
	switch {
	case !t.saturated && t.mean > float64(t.cfg.Enter):
		t.saturated = true
	case t.saturated && t.Calm():
		t.saturated = false
	default:
		return false
	}
	return true
}

// Saturated reports whether the router has too much work, until it is calm again.
func (t *Tracker) Saturated() bool { return t.saturated }

// Calm reports whether input is read in time.
func (t *Tracker) Calm() bool { return t.mean < float64(t.cfg.Leave) }

// Mean returns the mean lateness.
func (t *Tracker) Mean() time.Duration { return time.Duration(t.mean) }
