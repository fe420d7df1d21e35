// Package repeats implements the retry budget, for sending a request to another backend
// server: a ratio of the requests in a sliding window plus an allowance, shared by all routers
// of the fleet.
//
// A Budget does no I/O and reads no clock. Each router keeps to a share of its own, so that
// the sum holds also while routers cannot reach each other.
//
// Direct routers use it.
package repeats

import "time"

// Config limits the retries of one service over the whole fleet.
type Config struct {
	// Window is the length of the sliding window in which retries are counted.
	Window time.Duration
	// Ratio of retries to requests.
	Ratio float64
	// Allowance is the number of retries in a window in addition to the ratio, for the whole
	// fleet.
	Allowance float64
	// Use is the fraction of ratio and allowance that is spent, 0 to 1. The rest covers what
	// restarted and replaced routers spend twice.
	Use float64
}

// DefaultUse leaves a fifth for routers that restart within a window: a new process does not
// know what the previous one spent.
const DefaultUse = 0.8

// buckets is the number of buckets of a window; counts older than the window are dropped by
// whole buckets, so that a count is never dropped too early.
const buckets = 20

// Budget counts the requests and retries of one service at one router. It must be used by one
// goroutine at a time. Invariant: the retries of any window are at most Use x (Ratio x
// requests + Allowance / routers).
type Budget struct {
	cfg   Config
	width time.Duration
	// newestStart is the start of the newest bucket.
	newestStart time.Time
	requests    [buckets + 1]float64
	repeats     [buckets + 1]float64
}

// New returns an unspent budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, width: cfg.Window / buckets} }

// SetConfig changes the limits. What was spent stays counted; a window of another length
// applies from now on.
func (b *Budget) SetConfig(cfg Config) { b.cfg, b.width = cfg, cfg.Window/buckets }

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[0]++
}

// Decision says whether a retry may be sent, with the figures that decided it.
type Decision struct {
	Granted bool
	// Requests and Retries are those in the window, without the one that was asked for.
	Requests, Retries float64
	// Limit is the number of retries that the window may have.
	Limit float64
	// Routers is the number of routers that share the allowance.
	Routers int
}

// Take decides whether a retry may be sent now, and counts it if so. Routers is the number of
// routers that share the allowance.
func (b *Budget) Take(now time.Time, routers int) Decision {
	b.advance(now)
	d := Decision{Routers: max(routers, 1)}
	for i := range b.requests {
		d.Requests += b.requests[i]
		d.Retries += b.repeats[i]
	}
	d.Limit = b.cfg.Use * (b.cfg.Ratio*d.Requests + b.cfg.Allowance/float64(d.Routers))
	if d.Retries+1 > d.Limit {
		return d
	}
	b.repeats[0]++
	d.Granted = true
	return d
}

// advance moves to the bucket of the given time.
func (b *Budget) advance(now time.Time) {
	if b.newestStart.IsZero() {
		b.newestStart = now
		return
	}
	steps := int(now.Sub(b.newestStart) / b.width)
	if steps <= 0 {
		return
	}
	b.newestStart = b.newestStart.Add(time.Duration(steps) * b.width)
	shift(&b.requests, steps)
	shift(&b.repeats, steps)
}

func shift(counts *[buckets + 1]float64, steps int) {
	for i := len(counts) - 1; i >= 0; i-- {
		if i >= steps {
			counts[i] = counts[i-steps]
		} else {
			counts[i] = 0
		}
	}
}
