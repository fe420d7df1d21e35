// Package repeats holds the budget for sending a request to a further backend
// server: a share of the requests of the window plus an allowance, which all
// routers of the fleet keep together.
//
// A Budget is pure. Each router keeps to a part of its own, so that the sum
// holds also while routers cannot reach each other.
//
// Direct routers use it.
package repeats

import "time"

// Config bounds the repeats of one service over the whole fleet.
type Config struct {
	// Window that slides, in which repeats are counted.
	Window time.Duration
	// Ratio of repeats to requests.
	Ratio float64
	// Allowance of repeats in a window beside the ratio, for the whole fleet.
	Allowance float64
	// Use is the part of ratio and allowance that is spent, 0 to 1. The rest
	// covers what routers that come and go spend twice.
	Use float64
}

// DefaultUse leaves a fifth for routers that restart within a window: a fresh
// process does not know what the one before it spent.
const DefaultUse = 0.8

// slices divide the window; counts older than the window are dropped by whole
// slices, so that a count is never dropped too early.
const slices = 20

// Budget counts the requests and repeats of one service at one router. It must
// be used by one goroutine at a time. Invariant: the repeats of any window are
// at most Use x (Ratio x requests + Allowance / routers).
type Budget struct {
	cfg   Config
	width time.Duration
	// begin of the newest slice.
	begin    time.Time
	requests [slices + 1]float64
	repeats  [slices + 1]float64
}

// New returns an unspent budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, width: cfg.Window / slices} }

// SetConfig changes the bounds. What was spent stays counted; a window of
// another length is followed from here on.
func (b *Budget) SetConfig(cfg Config) { b.cfg, b.width = cfg, cfg.Window/slices }

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.turn(now)
	b.requests[0]++
}

// Take reports whether a repeat may be sent now, and counts it if so. Routers
// is the number of routers that share the allowance.
func (b *Budget) Take(now time.Time, routers int) bool {
	b.turn(now)
	var requests, repeats float64
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	limit := b.cfg.Use * (b.cfg.Ratio*requests + b.cfg.Allowance/float64(max(routers, 1)))
	if repeats+1 > limit {
		return false
	}
	b.repeats[0]++
	return true
}

// turn moves to the slice of the time.
func (b *Budget) turn(now time.Time) {
	if b.begin.IsZero() {
		b.begin = now
		return
	}
	steps := int(now.Sub(b.begin) / b.width)
	if steps <= 0 {
		return
	}
	b.begin = b.begin.Add(time.Duration(steps) * b.width)
	shift(&b.requests, steps)
	shift(&b.repeats, steps)
}

func shift(counts *[slices + 1]float64, steps int) {
	for i := len(counts) - 1; i >= 0; i-- {
		if i >= steps {
			counts[i] = counts[i-steps]
		} else {
			counts[i] = 0
		}
	}
}
