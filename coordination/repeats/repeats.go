// Package repeats implements the retry budget, for sending a request to another backend
// server: a ratio of the requests in a sliding window plus an allowance, shared by all routers
// of the fleet.
//
// The load that it answers: servers crash in series with dozens of runs each, while routers are
// killed, cut off or restarted. A new process does not know what the one before it spent, and
// requests move to other routers, so a router spends only what it has earned itself: the sum holds
// without any knowledge of the others but their number.
//
// A Budget does no I/O and reads no clock.
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
	// Use is the fraction of ratio and allowance that is spent, 0 to 1. The rest covers retries
	// that arrive later than they are decided.
	Use float64
}

// DefaultUse leaves a tenth for retries that are on their way for up to a tenth of a window.
const DefaultUse = 0.9

const (
	// buckets is the number of buckets of a window. Credits older than the window are dropped by
	// whole buckets, so that none is used too late.
	buckets = 20
	// windowsOfCredit is the number of windows in which the requests came whose credits can be
	// spent in one window: that window and the one before it.
	windowsOfCredit = 2
	// burstShare is the share of the allowance that can be kept and spent at once. The rest is earned
	// in a window, so that no window has more than the allowance, also if a new process follows one
	// that spent all it had.
	burstShare = 0.5
)

// Budget holds the credits of one service at one router. It must be used by one goroutine at a
// time. A credit is earned by a request or, for the allowance, by the time since the process
// started, and spent once. Invariant: the retries that all routers decide on in any window are at
// most Use x (Ratio x the requests of the busiest window up to then + Allowance), however
// requests move between routers and however often routers are killed and start again, if each
// router knows how many there are.
type Budget struct {
	cfg   Config
	width time.Duration
	// newestStart is the start of the newest bucket; credits and requests are those of each bucket,
	// credits without what was spent.
	newestStart time.Time
	credits     [buckets]float64
	requests    [buckets]float64
	retries     [buckets]float64
	// earned is what is left of the allowance, earned until earnedAt.
	earned   float64
	earnedAt time.Time
}

// New returns the budget of a process that started at the given time.
func New(cfg Config, startedAt time.Time) *Budget {
	return &Budget{cfg: cfg, width: cfg.Window / buckets, earnedAt: startedAt}
}

// SetConfig changes the limits. What was earned stays as far as the new limits would have granted it;
// with a window of another length credits start anew.
func (b *Budget) SetConfig(cfg Config) {
	before := b.cfg
	b.cfg, b.width = cfg, cfg.Window/buckets
	if cfg.Window != before.Window {
		b.credits, b.requests, b.retries = [buckets]float64{}, [buckets]float64{}, [buckets]float64{}
		return
	}
	if cfg.Use*cfg.Ratio >= before.Use*before.Ratio {
		return
	}
	kept := cfg.Use * cfg.Ratio / (before.Use * before.Ratio)
	for i := range b.credits {
		b.credits[i] *= kept
	}
}

// Request credits a caller's request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[0]++
	b.credits[0] += b.cfg.Use * b.cfg.Ratio / windowsOfCredit
}

// Decision says whether a retry may be sent, with the figures that decided it.
type Decision struct {
	Granted bool
	// Requests and Retries are those in the window, without the retry that was asked for.
	Requests, Retries float64
	// Credit is what the requests have left, and Earned what the allowance has left, in retries.
	Credit, Earned float64
	// Routers is the number of routers that share the allowance.
	Routers int
}

// Take decides whether a retry may be sent now, and spends its credit if so. Routers is the number
// of routers that share the allowance, as a FleetSize has it.
func (b *Budget) Take(now time.Time, routers int) Decision {
	b.advance(now)
	d := Decision{Routers: max(routers, 1)}
	b.earn(now, d.Routers)
	d.Earned = b.earned
	for i := range b.credits {
		d.Requests += b.requests[i]
		d.Retries += b.retries[i]
		d.Credit += b.credits[i]
	}
	if d.Credit+d.Earned < 1 {
		return d
	}
	b.spend()
	b.retries[0]++
	d.Granted = true
	return d
}

// earn adds what the allowance earned since the last time. What can be kept is limited.
func (b *Budget) earn(now time.Time, routers int) {
	part := b.cfg.Use * b.cfg.Allowance / float64(routers)
	most := part * burstShare
	windows := max(now.Sub(b.earnedAt).Seconds()/b.cfg.Window.Seconds(), 0)
	b.earned = min(b.earned+part*(1-burstShare)*windows, most)
	b.earnedAt = now
}

// spend takes one retry from the oldest credits, which are dropped first, and then from the
// allowance.
func (b *Budget) spend() {
	left := 1.0
	for i := len(b.credits) - 1; i >= 0; i-- {
		taken := min(b.credits[i], left)
		b.credits[i] -= taken
		left -= taken
	}
	b.earned = max(b.earned-left, 0)
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
	shift(&b.credits, steps)
	shift(&b.requests, steps)
	shift(&b.retries, steps)
}

func shift(counts *[buckets]float64, steps int) {
	for i := len(counts) - 1; i >= 0; i-- {
		if i >= steps {
			counts[i] = counts[i-steps]
		} else {
			counts[i] = 0
		}
	}
}
