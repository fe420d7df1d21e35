package leave

import "time"

// Parts of the estimate of how long a request takes.
const (
	// longestWindow is for how long at least the longest answer of a kind of request is remembered.
	longestWindow = 30 * time.Second
	// reserveNumerator and reserveDenominator are what an answer may take relative to the longest of late.
	reserveNumerator, reserveDenominator = 3, 2
	// reserve is what it may take beyond that.
	reserve = 50 * time.Millisecond
	// lastPart is the part of Bound, its end, in which no request is taken that may run once only.
	lastPart = 6
)

// Request is what is known of a request that comes while the process shuts down.
type Request struct {
	// TimeLeft is how long its caller waits.
	TimeLeft time.Duration
	// Longest is the longest time that an answer of its kind took of late; IsKnown is false if none is known.
	Longest time.Duration
	IsKnown bool
	// RunsOnce means that the request must not be repeated once it may have run.
	RunsOnce bool
}

// expected returns how long the request may take: what its caller waits, or less by what is known of its kind.
func (r Request) expected() time.Duration {
	if !r.IsKnown {
		return r.TimeLeft
	}
	return min(r.TimeLeft, r.Longest*reserveNumerator/reserveDenominator+reserve)
}

// Fits reports whether a request that is taken so long before the requests in flight are ended is expected to end
// before that. One that does not fit is refused: at another process it can run to its end.
func (c Config) Fits(left time.Duration, r Request) bool {
	if r.RunsOnce && left < c.Bound/lastPart {
		return false
	}
	return r.expected() <= left
}

// Durations tracks how long answers took of late, by kind of request. It must not be used concurrently.
type Durations struct {
	kinds map[string]*longest
}

// longest holds the longest time of the present window and of the one before it.
type longest struct {
	since        time.Time
	now, earlier time.Duration
}

// NewDurations returns an empty table.
func NewDurations() *Durations { return &Durations{kinds: make(map[string]*longest)} }

// Record records that an answer of the kind took so long.
func (d *Durations) Record(now time.Time, kind string, took time.Duration) {
	one := d.kinds[kind]
	if one == nil {
		one = &longest{since: now}
		d.kinds[kind] = one
	}
	one.turn(now)
	one.now = max(one.now, took)
}

// turn begins a new window if the present one is over.
func (l *longest) turn(now time.Time) {
	age := now.Sub(l.since)
	if age < longestWindow {
		return
	}
	l.earlier = l.now
	if age >= 2*longestWindow {
		l.earlier = 0
	}
	l.now, l.since = 0, now
}

// Longest returns the longest time that an answer of the kind took of late, and whether any is known.
func (d *Durations) Longest(now time.Time, kind string) (time.Duration, bool) {
	one := d.kinds[kind]
	if one == nil {
		return 0, false
	}
	one.turn(now)
	most := max(one.now, one.earlier)
	return most, most > 0
}

// Keep forgets the kinds of which keep does not report that they exist.
func (d *Durations) Keep(keep func(kind string) bool) {
	for kind := range d.kinds {
		if !keep(kind) {
			delete(d.kinds, kind)
		}
	}
}
