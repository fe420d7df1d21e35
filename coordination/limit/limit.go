package limit

import "time"

// Report is the engine's own view of its load. It lags.
type Report struct {
	Running int
	Waiting int
	Slots   int
}

// Window is what was measured since the last window.
type Window struct {
	// First and Gap are 95th percentiles of the time to the first token and
	// between tokens.
	First time.Duration
	Gap   time.Duration
	// Firsts and Gaps are the numbers of samples behind them.
	Firsts int
	Gaps   int
	// Peak is the largest number of requests that ran at once.
	Peak int
	// Report is the engine's last report, nil if there is none.
	Report *Report
}

// Limiter adapts the limit, one window after the other. It must be used by
// one goroutine at a time.
//
// Invariant: Min <= limit <= Max.
type Limiter struct {
	cfg   Config
	limit int
	// settle is the number of windows in which nothing is decided.
	settle int
	// tooHigh is the smallest limit known to pass a target, until forget
	// windows have gone by; 0 for none.
	tooHigh int
	forget  int
	// before is the limit at the first of a row of decreases, and load the
	// load at the last one, to see whether they help.
	before int
	load   float64
	futile int
	// unaided is the number of windows left in which the load is known not
	// to depend on the limit.
	unaided int
}

// New returns a limiter at the largest limit. The config must be valid.
func New(cfg Config) *Limiter { return &Limiter{cfg: cfg, limit: cfg.Max} }

// Limit returns the present limit.
func (l *Limiter) Limit() int { return l.limit }

// Observe takes one window and returns the limit from now on.
func (l *Limiter) Observe(w Window) int {
	l.age()
	ceiling := l.ceiling(w.Report)
	if l.limit > ceiling {
		l.move(ceiling)
	}
	if l.settle > 0 {
		l.settle--
		return l.limit
	}
	load, measured := l.relative(w)
	switch {
	case !measured:
	case load > 1:
		l.lower(load)
	case load < l.cfg.Headroom:
		l.endRow()
		if w.Peak >= l.limit && l.mayRaise(ceiling) {
			l.move(l.limit + 1)
		}
	}
	return l.limit
}

// age lets what is known of the past fade.
func (l *Limiter) age() {
	if l.unaided > 0 {
		l.unaided--
	}
	if l.forget > 0 {
		if l.forget--; l.forget == 0 {
			l.tooHigh = 0
		}
	}
}

// ceiling is the largest useful limit: beyond the engine's slots requests
// would queue in the engine, which knows no shares.
func (l *Limiter) ceiling(r *Report) int {
	if r == nil || r.Slots <= 0 {
		return l.cfg.Max
	}
	return max(min(l.cfg.Max, r.Slots), l.cfg.Min)
}

// relative returns the load in parts of the tighter target, and whether
// enough was measured.
func (l *Limiter) relative(w Window) (float64, bool) {
	load, measured := 0.0, false
	if w.Firsts >= l.cfg.MinSamples {
		load, measured = float64(w.First)/float64(l.cfg.First), true
	}
	if w.Gaps >= l.cfg.MinSamples {
		load, measured = max(load, float64(w.Gap)/float64(l.cfg.Gap)), true
	}
	return load, measured
}

// mayRaise reports whether one more is allowed: not beyond the ceiling, and
// not up to a limit that was too high a short while ago.
func (l *Limiter) mayRaise(ceiling int) bool {
	return l.limit < ceiling && (l.tooHigh == 0 || l.limit+1 < l.tooHigh)
}

// lower decreases the limit by as much as the target is passed. Decreases
// that do not help are taken back: then the time goes elsewhere, such as into
// long prompts, and a smaller limit would only waste capacity.
func (l *Limiter) lower(load float64) {
	if l.unaided > 0 {
		return
	}
	if l.helpless(load) {
		l.move(l.before)
		l.unaided = l.cfg.Again
		l.endRow()
		l.tooHigh, l.forget = 0, 0
		return
	}
	if l.before == 0 {
		l.before = l.limit
	}
	l.load = load
	l.tooHigh, l.forget = l.limit, l.cfg.Again
	factor := max(1/load, l.cfg.Deepest)
	l.move(max(min(int(float64(l.limit)*factor), l.limit-1), l.cfg.Min))
}

// leastGain is the part by which a decrease must lower the load to count as
// a help.
const leastGain = 0.02

// helpless reports whether the last decreases in a row had no effect.
func (l *Limiter) helpless(load float64) bool {
	if l.before > 0 && load > l.load*(1-leastGain) {
		l.futile++
	} else {
		l.futile = 0
	}
	return l.futile >= l.cfg.Futile
}

// endRow closes a row of decreases.
func (l *Limiter) endRow() { l.before, l.load, l.futile = 0, 0, 0 }

func (l *Limiter) move(limit int) {
	if limit == l.limit {
		return
	}
	l.limit = limit
	l.settle = l.cfg.Settle
}
