package platform

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	windowSeconds = 120
	maxCallers    = 10000 // further callers are counted together as "other"
)

// Count is the number of reads and writes.
type Count struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Second is the count of the calls in one second.
type Second struct {
	Second int64 `json:"second"`
	Count
}

// Counters is the response of GET /admin/counters. Reads and writes count only the admitted calls.
type Counters struct {
	Count
	WatchesStarted int64            `json:"watches_started"`
	WatchesWaiting int              `json:"watches_waiting"`
	Rejected       int64            `json:"rejected"` // over the rate limit
	Dropped        int64            `json:"dropped"`  // while down
	BySecond       []Second         `json:"by_second"`
	Callers        map[string]Count `json:"callers"`
}

// meter enforces the rate limits and counts calls.
type meter struct {
	mu      sync.Mutex
	sums    Counters
	seconds [windowSeconds]Second
	callers map[string]Count
	reads   bucket
	writes  bucket
}

func newMeter(reads, writes float64) *meter {
	return &meter{callers: map[string]Count{}, reads: newBucket(reads), writes: newBucket(writes)}
}

// admit counts a call, or rejects it when it exceeds the rate limit.
func (m *meter) admit(write bool, caller string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, increment, limiter := time.Now(), Count{Reads: 1}, &m.reads
	if write {
		increment, limiter = Count{Writes: 1}, &m.writes
	}
	if !limiter.allow(now) {
		m.sums.Rejected++
		return false
	}
	second := &m.seconds[now.Unix()%windowSeconds]
	if second.Second != now.Unix() {
		*second = Second{Second: now.Unix()}
	}
	if _, known := m.callers[caller]; !known && len(m.callers) >= maxCallers {
		caller = "other"
	}
	second.add(increment)
	m.sums.add(increment)
	count := m.callers[caller]
	count.add(increment)
	m.callers[caller] = count
	return true
}

func (c *Count) add(other Count) {
	c.Reads += other.Reads
	c.Writes += other.Writes
}

func (m *meter) countWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.WatchesStarted++
}

func (m *meter) countDropped() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Dropped++
}

func (m *meter) counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, oldest := m.sums, time.Now().Unix()-windowSeconds
	out.BySecond, out.Callers = []Second{}, maps.Clone(m.callers)
	for _, second := range m.seconds {
		if second.Second > oldest {
			out.BySecond = append(out.BySecond, second)
		}
	}
	slices.SortFunc(out.BySecond, func(a, b Second) int { return cmp.Compare(a.Second, b.Second) })
	return out
}

// bucket is a token bucket whose capacity is one second's worth of tokens.
type bucket struct {
	rate, tokens float64
	last         time.Time
}

func newBucket(rate float64) bucket { return bucket{rate, rate, time.Now()} }

func (b *bucket) allow(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
