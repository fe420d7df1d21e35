package saturation

import "time"

// LimitConfig holds the constants of a Limit.
type LimitConfig struct {
	// High is the mean lateness above which fewer requests may be held, Low
	// the one below which more may. Default 50ms and 20ms: a first token is
	// delayed by a tenth of its objective, and refusals alone do not take the
	// places of streams.
	High time.Duration
	Low  time.Duration
	// Every is the time between two changes. Default 250ms, in which the mean
	// has forgotten the load before the last change.
	Every time.Duration
	// Shrink and Grow are the factors of a change. Default 0.85 and 1.05.
	Shrink float64
	Grow   float64
	// Forget is the factor of a change while few streams are held, which tell nothing of
	// how many more could be. Default 1.005: the limit doubles in half a minute.
	Forget float64
	// Least is the least number of streams. Default 64, which the smallest
	// instances pass on with ease.
	Least int
	// First is the number of streams at the start, and Start the factor of a change
	// until the router was late for the first time. Defaults 128 and 1.6.
	First int
	Start float64
}

// DefaultLimitConfig returns the documented defaults.
func DefaultLimitConfig() LimitConfig {
	return LimitConfig{
		High: 50 * time.Millisecond, Low: 20 * time.Millisecond, Every: 250 * time.Millisecond, Shrink: 0.85, Grow: 1.05, Forget: 1.005, Least: 64, First: 128, Start: 1.6,
	}
}

// Limit bounds the streams that a router holds by what its processor can pass
// on: each open stream costs processor time all the while, unlike a refusal,
// after which the caller comes back to another router. It grows and shrinks as
// the congestion window of a transport protocol does.
type Limit struct {
	cfg     LimitConfig
	most    float64
	changed time.Time
	// settled tells that the router was late once.
	settled bool
}

// NewLimit returns a limit that grows fast until the router is late: a flood that comes
// all at once brings more streams than it can pass on before it is.
func NewLimit(cfg LimitConfig) *Limit { return &Limit{cfg: cfg, most: float64(cfg.First)} }

// usedShare is the part of the limit from which the streams held show whether more can
// be.
const usedShare = 0.75

// Adjust takes the mean lateness and the number of requests held.
func (l *Limit) Adjust(now time.Time, late time.Duration, held int) {
	if now.Sub(l.changed) < l.cfg.Every {
		return
	}
	switch {
	case late > l.cfg.High && float64(held) < l.most/2:
		// What makes the router late is not the streams.
		return
	case late > l.cfg.High:
		l.settled = true
		l.most = max(min(float64(held), l.most)*l.cfg.Shrink, float64(l.cfg.Least))
	case late < l.cfg.Low && float64(held) < usedShare*l.most:
		l.most *= l.cfg.Forget
	case late < l.cfg.Low && !l.settled:
		l.most *= l.cfg.Start
	case late < l.cfg.Low:
		l.most *= l.cfg.Grow
	default:
		return
	}
	l.changed = now
}

// Most returns the greatest number of streams.
func (l *Limit) Most() int { return int(l.most) }

// Figures of Admits.
const (
	// smallShare of the streams may be held by a team while others fill the
	// router, and overFill is how far beyond the limit this may go.
	smallShare = 1.0 / 8
	overFill   = 1.5
)

// Admits reports whether a router that may hold most streams (0: no bound), and
// holds some, of which the team has its own, may hold one more of the team. A
// team that floods the router does not push the others out.
func Admits(most, held, own int) bool {
	if most == 0 || held < most {
		return true
	}
	return float64(own) < smallShare*float64(most) && float64(held) < overFill*float64(most)
}
