// Package origin keeps where streams began: at which service and software version. A caller whose
// stream breaks off comes back to any router, and what servers of two versions generate does not
// fit together, so each router must be able to learn it.
//
// The router that relays a stream's first event keeps its origin, and announces it to two others while
// the service has several versions: one of its data centre and one beyond it, the first by rank for
// the stream (rendezvous hashing). Whoever needs it asks the first by rank. See Fleet.
//
// The package performs no I/O and reads no clock. Direct routers use it.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/roster"
)

// ID identifies a stream: the hash of the id of the caller's attempt that brought its first event.
type ID uint64

// IDOf returns the id of the stream whose first event the attempt brought.
func IDOf(attempt string) ID { return ID(xxhash.Sum64String(attempt)) }

// Origin is where a stream began.
type Origin struct {
	Service string
	Version roster.Version
}

// Record is the origin of one stream.
type Record struct {
	ID ID
	Origin
	// Doubted means that the process that sent its first event may have been of another version
	// than the entry of its server said: the origin is not known.
	Doubted bool
	// Lost means that it will never be known: the doubt does not end.
	Lost bool
}

// Config holds the times of a Table.
type Config struct {
	// Life is how long a record is kept after the stream last ran here, or after it was last
	// announced: longer than a caller takes to come back for the last time. Default 30s.
	Life time.Duration
	// Refresh is the interval at which the origins of running streams are announced again in the data
	// centre, to routers that began anew or lost the message. Default 2s.
	Refresh time.Duration
	// Repeat is the time after which they are announced a second and last time beyond it, or again and
	// again in a small fleet. Default 1s.
	Repeat time.Duration
	// Rewrite is the interval at which the origins of running streams are written to the store again,
	// so that the entry outlives them. Default 15s.
	Rewrite time.Duration
	// Max bounds the number of records. Default 65536: a router of the largest fleet has some
	// thousands.
	Max int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Life: 30 * time.Second, Refresh: 2 * time.Second, Repeat: time.Second, Rewrite: 15 * time.Second, Max: 1 << 16}
}

// Known is what a router knows of a stream.
type Known struct {
	Origin
	// By is the router that knew it first, as far as is known, and For how long this router has
	// known it.
	By  string
	For time.Duration
	// Uncertain means that two origins are known, or that it is doubted: none is certain. Conflicting
	// means that two are known, and MayEnd that it is only doubted, and that the doubt may still end.
	Uncertain, Conflicting, MayEnd bool
}

// Table holds the origins that one router knows. It must not be used concurrently.
type Table struct {
	cfg     Config
	self    string
	records map[ID]*entry
	// fresh are the streams that began here and were not looked at by Due since.
	fresh []ID
	// looked is when Due looked at all records, dropped when the expired ones were dropped.
	looked, dropped time.Time
	// isIncomplete means that a record was not taken since there were too many.
	isIncomplete bool
}

// entry is a record with what the table needs to keep and announce it.
type entry struct {
	Origin
	by          string
	since       time.Time
	until       time.Time
	conflicting bool
	// doubted is set while the process that sent the first event is not known, lost if it never will be.
	doubted, lost bool
	// hasNews is set while others are to be told what became of the doubt, also after the stream has ended.
	hasNews bool
	// runs is the number of answers of this router that relay the stream now.
	runs int
	// isSplit means that the stream's route has several services, so that its service must be
	// known as well.
	isSplit bool
	// toldNear and toldFar are when it was last announced, tellings how often beyond the data centre.
	toldNear, toldFar time.Time
	tellings          int
	// isJournaled means that Due returned it for the store, last at journaledAt.
	isJournaled bool
	journaledAt time.Time
	// isSpread means that others were told once while the service had one version.
	isSpread bool
	// beganHere means that this router relayed its first events.
	beganHere bool
}

// NewTable returns the empty table of the router.
func NewTable(cfg Config, self string) *Table {
	return &Table{cfg: cfg, self: self, records: make(map[ID]*entry)}
}

// Began records that this router relays the stream, which began at the record's origin. Each call
// needs one of Ended.
func (t *Table) Began(now time.Time, r Record, isSplit bool) {
	e := t.put(now, r, t.self)
	if e == nil {
		return
	}
	e.runs++
	e.beganHere = true
	e.isSplit = e.isSplit || isSplit
	t.fresh = append(t.fresh, r.ID)
}

// Ended records that this router relays the stream no more. Its caller may not have got all that was
// sent, and may still come back.
func (t *Table) Ended(now time.Time, id ID) {
	e := t.records[id]
	if e == nil {
		return
	}
	e.runs = max(e.runs-1, 0)
	e.until = now.Add(t.cfg.Life)
}

// Told records what another router announced about a stream.
func (t *Table) Told(now time.Time, from string, r Record) { t.put(now, r, from) }

// Stored records what the store has of a stream. Unlike an announcement it does not prolong the
// life of a record that is known, as the same entry may be read again and again.
func (t *Table) Stored(now time.Time, from string, r Record) {
	until := time.Time{}
	if e := t.records[r.ID]; e != nil && !t.isExpired(now, e) {
		until = e.until
	}
	if e := t.put(now, r, from); e != nil && !until.IsZero() {
		e.until = until
	}
}

// All returns the records that others may need when this router ends.
func (t *Table) All(now time.Time) []Record {
	out := make([]Record, 0, len(t.records))
	for id, e := range t.records {
		if !t.isExpired(now, e) {
			out = append(out, e.outlasting(id)...)
		}
	}
	return out
}

// isExpired reports whether the record is kept no longer.
func (t *Table) isExpired(now time.Time, e *entry) bool { return e.runs == 0 && now.After(e.until) }

// put adds the origin of the stream, and returns nil if the table is full. What is certain stays so
// when another router doubts it, and settles an earlier doubt.
func (t *Table) put(now time.Time, r Record, by string) *entry {
	e := t.records[r.ID]
	if e == nil || t.isExpired(now, e) {
		if e == nil && len(t.records) >= t.cfg.Max {
			t.isIncomplete = true
			return nil
		}
		e = &entry{Origin: r.Origin, by: by, since: now, doubted: r.Doubted}
		t.records[r.ID] = e
	}
	if e.Origin != r.Origin && !e.conflicting {
		e.conflicting, e.isJournaled = true, false
	}
	e.doubted, e.lost = e.doubted && r.Doubted, e.lost || r.Lost
	e.until = now.Add(t.cfg.Life)
	return e
}

// Lookup returns what is known of the stream.
func (t *Table) Lookup(now time.Time, id ID) (Known, bool) {
	e := t.records[id]
	if e == nil || t.isExpired(now, e) {
		return Known{}, false
	}
	return Known{
		Origin: e.Origin, By: e.by, For: now.Sub(e.since), Uncertain: e.conflicting || e.doubted, Conflicting: e.conflicting,
		MayEnd: e.doubted && !e.conflicting && !e.lost,
	}, true
}

// IsComplete reports whether the table holds each stream that began at this router and was not forgotten
// because of its age.
func (t *Table) IsComplete() bool { return !t.isIncomplete }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Tick drops expired records.
func (t *Table) Tick(now time.Time) {
	if now.Sub(t.dropped) < time.Second {
		return
	}
	t.dropped = now
	for id, e := range t.records {
		if t.isExpired(now, e) {
			delete(t.records, id)
		}
	}
}
