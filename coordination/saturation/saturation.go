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
	// Shed is the mean lateness from which new connections are closed before
	// anything is read of them. Default 30ms: what is accepted then is read after
	// about six times as long, a third of the most urgent objective.
	Shed time.Duration
	// RouterPause for each router of the fleet is the least time for which it
	// stays saturated, from LeastPause to MostPause. Defaults 300ms, 6s and 30s.
	// The balancer needs two seconds to notice. It takes the routers for a caller
	// in one order, so that a flood falls back on the first that is ready again. In
	// a large fleet one instance less is no loss, and the flood must pass several
	// small ones before it finds one that bears it: with 30s in place of 6s at 103
	// routers a flooded data centre earned .74 of what it was due in place of .45.
	// With 30s at 30 routers more than half of a data centre were out at times, and
	// then the balancer takes all of them, the flooded ones too.
	RouterPause time.Duration
	LeastPause  time.Duration
	MostPause   time.Duration
	// LongestPause bounds the pause, which doubles up to four times its least
	// while saturation comes back within twice the pause. Default 60s.
	LongestPause time.Duration
	// Gain is the weight of one observation in the mean. Default 0.1, which
	// at one each 25ms forgets in a quarter of a second.
	Gain float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Enter: 45 * time.Millisecond, Leave: 10 * time.Millisecond, RouterPause: 300 * time.Millisecond, Shed: 30 * time.Millisecond,
		LeastPause: 6 * time.Second, MostPause: 30 * time.Second, LongestPause: time.Minute, Gain: 0.1,
	}
}

// Tracker follows the lateness of timers. It must be used by one goroutine at
// a time.
type Tracker struct {
	cfg       Config
	mean      float64
	saturated bool
	began     time.Time
	ended     time.Time
	// least is the least pause for the fleet's size, pause the one in force.
	least, pause time.Duration
}

// New returns the tracker of a router at rest that knows of no other.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, least: cfg.LeastPause, pause: cfg.LeastPause}
}

// SetRouters tells how many routers the fleet has.
func (t *Tracker) SetRouters(n int) {
	t.least = min(max(time.Duration(n)*t.cfg.RouterPause, t.cfg.LeastPause), t.cfg.MostPause)
}

// repeats bounds the doublings of a pause: four times the least one.
const repeats = 4

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
		t.pause = min(2*t.pause, repeats*t.least, t.cfg.LongestPause)
	} else {
		t.pause = t.least
	}
}

// Saturated reports whether the router has too much work.
func (t *Tracker) Saturated() bool { return t.saturated }

// Sheds reports whether new connections are to be closed unread.
//
// The pattern that it answers: one caller's flood brings a small router more
// connections than it can read. Refusing one takes reading it, so that the input
// of all callers there lies unread for seconds, longer than they wait. A caller
// whose connection was closed unread knows that its request did not run and goes
// to another router at once. At 103 routers a day with a flooded data centre was
// worth .567 in place of .530, with pauses of 30s in both (one play each).
func (t *Tracker) Sheds() bool { return t.mean >= float64(t.cfg.Shed) }

// Mean returns the mean lateness.
func (t *Tracker) Mean() time.Duration { return time.Duration(t.mean) }
