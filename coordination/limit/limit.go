package limit

import "time"

// Report is the load that the engine reports about itself. It lags behind the
// actual load.
type Report struct {
	Running int
	Waiting int
	Slots   int
}

// Window holds the measurements since the previous window.
type Window struct {
	// First and Gap are the 95th percentiles of the time to the first token and
	// of the time between tokens.
	First time.Duration
	Gap   time.Duration
	// Firsts and Gaps are the numbers of samples of First and Gap.
	Firsts int
	Gaps   int
	// Peak is the largest number of concurrent requests.
	Peak int
	// Report is the engine's latest report, nil if there is none.
	Report *Report
}

// Limiter adapts the concurrency limit after each window. It must not be used
// concurrently.
//
// Invariant: Min <= limit <= Max.
type Limiter struct {
	cfg   Config
	limit int
	// settleWindows is the number of windows left until the limit may change
	// again.
	settleWindows int
	// tooHigh is the smallest limit known to exceed a target, 0 for none. It
	// expires after tooHighWindows windows.
	tooHigh        int
	tooHighWindows int
	// seriesStart is the limit before the first of the present consecutive
	// decreases and lastLoad the relative load at the latest one; they show
	// whether the decreases have an effect. futileDecreases counts those that
	// had none.
	seriesStart     int
	lastLoad        float64
	futileDecreases int
	// independentWindows is the number of windows left in which the load is taken
	// not to depend on the limit.
	independentWindows int
}

// New returns a limiter that starts at the largest limit. The config must be
// valid.
func New(cfg Config) *Limiter { return &Limiter{cfg: cfg, limit: cfg.Max} }

// Limit returns the current limit.
func (l *Limiter) Limit() int { return l.limit }

// Observe updates the limit with the measurements of one window and returns the
// new limit.
func (l *Limiter) Observe(w Window) int {
	l.expire()
	ceiling := l.ceiling(w.Report)
	if l.limit > ceiling {
		l.setLimit(ceiling)
	}
	if l.settleWindows > 0 {
		l.settleWindows--
		return l.limit
	}
	load, measured := l.relativeLoad(w)
	switch {
	case !measured:
	case load > 1:
		l.decrease(load)
	case load < l.cfg.Headroom:
		l.endSeries()
		if w.Peak >= l.limit && l.mayRaise(ceiling) {
			l.setLimit(l.limit + 1)
		}
	}
	return l.limit
}

// expire discards what was learnt in earlier windows.
func (l *Limiter) expire() {
	if l.independentWindows > 0 {
		l.independentWindows--
	}
	if l.tooHighWindows > 0 {
		if l.tooHighWindows--; l.tooHighWindows == 0 {
			l.tooHigh = 0
		}
	}
}

// ceiling returns the largest useful limit. Requests beyond the engine's slots
// would wait in the queue of the engine, which doesn't know the teams' shares.
func (l *Limiter) ceiling(r *Report) int {
	if r == nil || r.Slots <= 0 {
		return l.cfg.Max
	}
	return max(min(l.cfg.Max, r.Slots), l.cfg.Min)
}

// relativeLoad returns the load as a fraction of the target that is exceeded
// most or closest to it, and whether there were enough samples.
func (l *Limiter) relativeLoad(w Window) (float64, bool) {
	load, measured := 0.0, false
	if w.Firsts >= l.cfg.MinSamples {
		load, measured = float64(w.First)/float64(l.cfg.FirstTokenTarget), true
	}
	if w.Gaps >= l.cfg.MinSamples {
		load, measured = max(load, float64(w.Gap)/float64(l.cfg.TokenGapTarget)), true
	}
	return load, measured
}

// mayRaise reports whether the limit may rise by one: not above the ceiling, and
// not to a limit that recently exceeded a target.
func (l *Limiter) mayRaise(ceiling int) bool {
	return l.limit < ceiling && (l.tooHigh == 0 || l.limit+1 < l.tooHigh)
}

// decrease lowers the limit in proportion to the excess over the target.
// Decreases without effect are reverted: the latency then has another cause,
// such as long prompts, and a smaller limit would only waste capacity.
func (l *Limiter) decrease(load float64) {
	if l.independentWindows > 0 {
		return
	}
	if l.isFutile(load) {
		l.setLimit(l.seriesStart)
		l.independentWindows = l.cfg.RetryWindows
		l.endSeries()
		l.tooHigh, l.tooHighWindows = 0, 0
		return
	}
	if l.seriesStart == 0 {
		l.seriesStart = l.limit
	}
	l.lastLoad = load
	l.tooHigh, l.tooHighWindows = l.limit, l.cfg.RetryWindows
	factor := max(1/load, l.cfg.MinDecreaseFactor)
	l.setLimit(max(min(int(float64(l.limit)*factor), l.limit-1), l.cfg.Min))
}

// minLoadReduction is the fraction by which a decrease of the limit must reduce
// the load to count as effective.
const minLoadReduction = 0.02

// isFutile reports whether the latest consecutive decreases had no effect.
func (l *Limiter) isFutile(load float64) bool {
	if l.seriesStart > 0 && load > l.lastLoad*(1-minLoadReduction) {
		l.futileDecreases++
	} else {
		l.futileDecreases = 0
	}
	return l.futileDecreases >= l.cfg.MaxFutileDecreases
}

// endSeries ends a series of consecutive decreases.
func (l *Limiter) endSeries() { l.seriesStart, l.lastLoad, l.futileDecreases = 0, 0, 0 }

func (l *Limiter) setLimit(limit int) {
	if limit == l.limit {
		return
	}
	l.limit = limit
	l.settleWindows = l.cfg.SettleWindows
}
