package observe

import (
	"expvar"
	"sync"
	"time"
)

// Limits of a LineLimit.
const (
	// limitInterval is the time after which the line counts are reset.
	limitInterval = time.Second
	// limitBurst is the number of lines allowed for one key in an interval.
	limitBurst = 5
	// limitKeys bounds the number of keys in an interval; lines of further
	// keys are dropped.
	limitKeys = 1024
)

// LineLimit rate-limits repeated log lines, such as rejections during overload.
// It is safe for concurrent use.
type LineLimit struct {
	mu            sync.Mutex
	intervalStart time.Time
	lines         map[string]int
	dropped       map[string]int
	total         *expvar.Int
	burst         int
}

// NewLineLimit returns a limit that increments total for each dropped line.
func NewLineLimit(total *expvar.Int) *LineLimit { return NewLineLimitOf(total, limitBurst) }

// NewLineLimitOf returns a limit that allows burst lines of one key per second.
func NewLineLimitOf(total *expvar.Int, burst int) *LineLimit {
	return &LineLimit{lines: map[string]int{}, dropped: map[string]int{}, total: total, burst: burst}
}

// Allow reports whether a line with this key may be written, and how many lines
// of the key were dropped in the previous interval.
func (l *LineLimit) Allow(key string, now time.Time) (allowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.intervalStart) >= limitInterval {
		l.startInterval(now)
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

// startInterval resets the counts for a new interval.
func (l *LineLimit) startInterval(now time.Time) {
	l.intervalStart = now
	clear(l.dropped)
	for key, n := range l.lines {
		if n > l.burst {
			l.dropped[key] = n - l.burst
		}
	}
	clear(l.lines)
}
