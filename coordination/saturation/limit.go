package saturation

import "time"

// LimitConfig holds the constants of a Limit.
type LimitConfig struct {
	// HighLateness is the mean lateness above which the limit shrinks, and LowLateness the
	// one below which it grows. Defaults 50ms and 20ms: a first token is delayed by a tenth
	// of its latency objective, and the lateness caused by refusals alone does not reduce
	// the number of streams.
	HighLateness time.Duration
	LowLateness  time.Duration
	// Interval is the time between two changes of the limit. Default 250ms, within which the
	// load before the last change has dropped out of the mean.
	Interval time.Duration
	// ShrinkFactor and GrowFactor are the factors of a change. Defaults 0.85 and 1.05.
	ShrinkFactor float64
	GrowFactor   float64
	// LowUseGrowFactor is the factor of a change while few streams are open, which does not
	// show how many more the router could run. Default 1.005: the limit doubles in half a
	// minute.
	LowUseGrowFactor float64
	// Min is the smallest limit. Default 64, which the smallest instances relay with ease.
	Min int
	// Initial is the limit at the start, and StartFactor the factor of a change until the
	// router was late for the first time. Defaults 128 and 1.6.
	Initial     int
	StartFactor float64
}

// DefaultLimitConfig returns the documented defaults.
func DefaultLimitConfig() LimitConfig {
	return LimitConfig{
		HighLateness: 50 * time.Millisecond, LowLateness: 20 * time.Millisecond, Interval: 250 * time.Millisecond, ShrinkFactor: 0.85, GrowFactor: 1.05, LowUseGrowFactor: 1.005, Min: 64, Initial: 128, StartFactor: 1.6,
	}
}

// Limit bounds the open streams of a router by what its processor can relay: an open stream
// costs processor time for as long as it lasts, unlike a refusal, after which the caller
// retries at another router. The limit grows and shrinks like the congestion window of a
// transport protocol.
type Limit struct {
	cfg       LimitConfig
	max       float64
	changedAt time.Time
	// wasLate is true if the router was late at least once, which ends the fast growth of
	// the start.
	wasLate bool
}

// NewLimit returns a limit that grows fast until the router is late for the first time. It
// starts low because a sudden flood opens more streams than the router can relay before it
// is late.
func NewLimit(cfg LimitConfig) *Limit { return &Limit{cfg: cfg, max: float64(cfg.Initial)} }

// usedFraction is the part of the limit from which the number of open streams shows whether
// the router could run more.
const usedFraction = 0.75

// Adjust updates the limit from the mean lateness and the number of open streams.
func (l *Limit) Adjust(now time.Time, late time.Duration, open int) {
	if now.Sub(l.changedAt) < l.cfg.Interval {
		return
	}
	switch {
	case late > l.cfg.HighLateness && float64(open) < l.max/2:
		// So few streams are not the cause of the lateness.
		return
	case late > l.cfg.HighLateness:
		l.wasLate = true
		l.max = max(min(float64(open), l.max)*l.cfg.ShrinkFactor, float64(l.cfg.Min))
	case late < l.cfg.LowLateness && float64(open) < usedFraction*l.max:
		l.max *= l.cfg.LowUseGrowFactor
	case late < l.cfg.LowLateness && !l.wasLate:
		l.max *= l.cfg.StartFactor
	case late < l.cfg.LowLateness:
		l.max *= l.cfg.GrowFactor
	default:
		return
	}
	l.changedAt = now
}

// Most returns the greatest number of open streams.
func (l *Limit) Most() int { return int(l.max) }

// Constants of Admits.
const (
	// smallFraction is the part of the limit below which a team still gets a stream while
	// other teams fill the router, and overcommit is how far beyond the limit such streams
	// may go.
	smallFraction = 1.0 / 8
	overcommit    = 1.5
)

// Admits reports whether a router with the stream limit (0: no limit), the open streams and
// the team's own part of them may open one more for the team. A team that floods the router
// does not starve the others.
func Admits(limit, open, own int) bool {
	if limit == 0 || open < limit {
		return true
	}
	return float64(own) < smallFraction*float64(limit) && float64(open) < overcommit*float64(limit)
}
