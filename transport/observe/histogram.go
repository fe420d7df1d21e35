package observe

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Form of a histogram of times, in microseconds.
const (
	leastTime    = 1
	greatestTime = int64(time.Hour / time.Microsecond)
	digits       = 2
	// windows are merged in a summary; the oldest is dropped at each turn.
	windows    = 3
	windowTime = 20 * time.Second
	// maxSeries bounds the series of one metric; further names share one.
	maxSeries   = 256
	otherSeries = "other"
)

// Summary describes the recent values of a series, in microseconds.
type Summary struct {
	// Count of all values since the start.
	Count int64 `json:"count"`
	// P50, P95, P99 and Max of the values of the last minute.
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Times holds one histogram of times for each name, such as a service. It is
// safe for concurrent use.
type Times struct {
	mu     sync.RWMutex
	series map[string]*series
}

// series is the histogram of one name.
type series struct {
	mu     sync.Mutex
	recent *hdrhistogram.WindowedHistogram
	turned time.Time
	count  int64
}

// Times adds a histogram for each name to the metrics.
func (v *Vars) Times(name string) *Times {
	t := &Times{series: map[string]*series{}}
	v.Func(name, func() any { return t.Summaries(time.Now()) })
	return t
}

// Record adds a time to the histogram of the name.
func (t *Times) Record(name string, now time.Time, d time.Duration) {
	s := t.find(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	s.count++
	value := min(max(d.Microseconds(), leastTime), greatestTime)
	// The value lies within the histogram's range.
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
		t.series[name] = &series{recent: hdrhistogram.NewWindowed(windows, leastTime, greatestTime, digits)}
	}
	return t.series[name]
}

// turn drops the windows that are too old.
func (s *series) turn(now time.Time) {
	for range windows {
		if now.Sub(s.turned) < windowTime {
			return
		}
		s.recent.Rotate()
		s.turned = s.turned.Add(windowTime)
	}
	s.turned = now
}

func (s *series) summary(now time.Time) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	h := s.recent.Merge()
	return Summary{
		Count: s.count,
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}
