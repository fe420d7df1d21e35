package origin

import "time"

// JournalConfig holds the times and limits of a Journal.
type JournalConfig struct {
	// Interval is the shortest time between two writes of a router. Default 500ms.
	Interval time.Duration
	// WritesPerSecond bounds the writes of the whole fleet, so that the interval grows with it:
	// each write also wakes the routers that watch the store. Default 8.
	WritesPerSecond float64
	// MaxInterval is the interval above which nothing is written: what is written so late has been
	// needed before, and the origins of a fleet of that size are known to routers enough. Default 2s.
	MaxInterval time.Duration
	// SegmentLife is for how long records are added to one entry, which is rewritten as it grows.
	// Default 5s.
	SegmentLife time.Duration
	// Life is the lifetime of an entry. Default 45s: a segment and the life of a record of a Table,
	// and the time of a start.
	Life time.Duration
	// MaxRecords bounds the records of an entry while the store does not take it. Default 16384.
	MaxRecords int
}

// DefaultJournalConfig returns the documented defaults.
func DefaultJournalConfig() JournalConfig {
	return JournalConfig{
		Interval: 500 * time.Millisecond, WritesPerSecond: 8, MaxInterval: 2 * time.Second,
		SegmentLife: 5 * time.Second, Life: 45 * time.Second, MaxRecords: 1 << 14,
	}
}

// Segment is an entry of the store to be written: the origins of streams that began one after the
// other.
type Segment struct {
	// Number identifies it among those of one process of the router.
	Number  uint64
	Records []Record
	// IsFirst means that it has not been written before.
	IsFirst bool
}

// Stored is what the store has in one entry.
type Stored struct {
	// Router wrote it.
	Router  string
	Records []Record
}

// Journal decides when a router writes the origins of its streams to the store, from which routers
// that begin learn them: all routers that know a stream may end at once, or one after the other.
// It must not be used concurrently.
type Journal struct {
	cfg JournalConfig
	// number is that of the present segment, records what it holds, of which written were written.
	number  uint64
	records []Record
	written int
	// begun is when the first record of the segment was written, tried when the last write began.
	begun, tried time.Time
}

// NewJournal returns an empty journal whose segments have numbers from first on.
func NewJournal(cfg JournalConfig, first uint64) *Journal { return &Journal{cfg: cfg, number: first} }

// Add adds records to the present segment. The oldest ones are dropped beyond the limit.
func (j *Journal) Add(records []Record) {
	j.records = append(j.records, records...)
	if excess := len(j.records) - j.cfg.MaxRecords; excess > 0 {
		j.records = j.records[excess:]
		j.written = max(j.written-excess, 0)
	}
}

// interval returns the time between two writes of each of the routers.
func (c JournalConfig) interval(routers int) time.Duration {
	return max(c.Interval, time.Duration(float64(routers)/c.WritesPerSecond*float64(time.Second)))
}

// Due returns the segment to be written now, if there is one, in a fleet of so many routers.
func (j *Journal) Due(now time.Time, routers int) (Segment, bool) {
	interval := j.cfg.interval(routers)
	if interval > j.cfg.MaxInterval || len(j.records) <= j.written || now.Sub(j.tried) < interval {
		return Segment{}, false
	}
	return j.take(now), true
}

// Last returns the segment to be written by a router that ends, if there is one.
func (j *Journal) Last(now time.Time, routers int) (Segment, bool) {
	if j.cfg.interval(routers) > j.cfg.MaxInterval || len(j.records) <= j.written {
		return Segment{}, false
	}
	return j.take(now), true
}

func (j *Journal) take(now time.Time) Segment {
	j.tried = now
	return Segment{Number: j.number, Records: append([]Record(nil), j.records...), IsFirst: j.begun.IsZero()}
}

// Written records that the store took the segment. A new one begins once it is complete.
func (j *Journal) Written(now time.Time, s Segment) {
	if s.Number != j.number {
		return
	}
	if j.begun.IsZero() {
		j.begun = now
	}
	j.written = min(len(s.Records), len(j.records))
	if now.Sub(j.begun) >= j.cfg.SegmentLife {
		j.records, j.written = append([]Record(nil), j.records[j.written:]...), 0
		j.number, j.begun = j.number+1, time.Time{}
	}
}
