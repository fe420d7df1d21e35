package observe

import (
	"expvar"
	"sync"
	"time"
)

// Bounds of a LineLimit.
const (
	// limitInterval is the time after which lines are counted anew.
	limitInterval = time.Second
	// limitBurst is the number of lines of one key in an interval.
	limitBurst = 5
	// limitKeys bounds the keys of an interval; lines of further keys are
	// dropped.
	limitKeys = 1024
)

// LineLimit bounds log lines that say the same, such as refusals during
// overload. It is safe for concurrent use.
type LineLimit struct {
	mu      sync.Mutex
	began   time.Time
	lines   map[string]int
	dropped map[string]int
	total   *expvar.Int
	burst   int
}

// NewLineLimit returns a limit that adds each dropped line to total.
func NewLineLimit(total *expvar.Int) *LineLimit { return NewLineLimitOf(total, limitBurst) }

// NewLineLimitOf returns a limit of another number of lines of one key in an
// interval of a second.
func NewLineLimitOf(total *expvar.Int, burst int) *LineLimit {
	return &LineLimit{lines: map[string]int{}, dropped: map[string]int{}, total: total, burst: burst}
}

// Allow reports whether a line with this key may be written, and how many
// lines of the key were dropped in the interval before.
func (l *LineLimit) Allow(key string, now time.Time) (allowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= limitInterval {
		l.turn(now)
	}
	n, known := l.lines[key]
	if n >= l.burst || !known && len(l.lines) >= limitKeys {
		l.total.Add(1)
		if known {
			l.lines[key]++
		}
		return false, 0
	}
	l.lines[key] = n + 1
	dropped = l.dropped[key]
	delete(l.dropped, key)
	return true, dropped
}

// turn begins a new interval.
func (l *LineLimit) turn(now time.Time) {
	l.began = now
	clear(l.dropped)
	for key, n := range l.lines {
		if n > l.burst {
			l.dropped[key] = n - l.burst
		}
	}
	clear(l.lines)
}
