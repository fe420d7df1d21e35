package observe

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a duration histogram, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
	// windows is the number of windows merged into a summary; each rotation
	// drops the oldest.
	windows      = 3
	windowLength = 20 * time.Second
	// maxSeries bounds the series of one metric; further names share
	// otherSeries.
	maxSeries   = 256
	otherSeries = "other"
)

// Summary describes the recent values of a series, in microseconds.
type Summary struct {
	// Count is the number of values since the process started.
	Count int64 `json:"count"`
	// P50, P95, P99 and Max describe the values of the last minute.
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Times keeps a duration histogram for each name, such as a service. It is safe
// for concurrent use.
type Times struct {
	mu     sync.RWMutex
	series map[string]*series
}

// series is the sliding-window histogram of one name.
type series struct {
	mu        sync.Mutex
	recent    *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	count     int64
}

// Times adds a metric with one duration histogram for each recorded name.
func (v *Vars) Times(name string) *Times {
	t := &Times{series: map[string]*series{}}
	v.Func(name, func() any { return t.Summaries(time.Now()) })
	return t
}

// Record adds a duration to the histogram of the name.
func (t *Times) Record(name string, now time.Time, d time.Duration) {
	s := t.find(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.count++
	value := min(max(d.Microseconds(), minMicros), maxMicros)
	// The value was clamped to the histogram's range, so this can't fail.
	_ = s.recent.Current.RecordValue(value)
}

// Summaries returns the summary of each name.
func (t *Times) Summaries(now time.Time) map[string]Summary {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]Summary, len(t.series))
	for name, s := range t.series {
		out[name] = s.summary(now)
	}
	return out
}

func (t *Times) find(name string) *series {
	t.mu.RLock()
	s := t.series[name]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.series) >= maxSeries {
		name = otherSeries
	}
	if t.series[name] == nil {
		t.series[name] = &series{recent: hdrhistogram.NewWindowed(windows, minMicros, maxMicros, significantDigits)}
	}
	return t.series[name]
}

// rotate drops the windows that have expired.
func (s *series) rotate(now time.Time) {
	for range windows {
		if now.Sub(s.rotatedAt) < windowLength {
			return
		}
		s.recent.Rotate()
		s.rotatedAt = s.rotatedAt.Add(windowLength)
	}
	s.rotatedAt = now
}

func (s *series) summary(now time.Time) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	h := s.recent.Merge()
	return Summary{
		Count: s.count,
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}
