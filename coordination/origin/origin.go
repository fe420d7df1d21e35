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
	"slices"
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
	// Repeat is the time after which they are announced a second and last time beyond it. Default 1s.
	Repeat time.Duration
	// Max bounds the number of records. Default 65536: a router of the largest fleet has some
	// thousands.
	Max int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Life: 30 * time.Second, Refresh: 2 * time.Second, Repeat: time.Second, Max: 1 << 16}
}

// Known is what a router knows of a stream.
type Known struct {
	Origin
	// By is the router that knew it first, as far as is known, and For how long this router has
	// known it.
	By  string
	For time.Duration
	// Uncertain means that two origins are known, or that it is doubted: none is certain. MayEnd means
	// that it is only doubted, and that the doubt may still end.
	Uncertain, MayEnd bool
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

// put adds the origin of the stream, and returns nil if the table is full. What is certain stays so
// when another router doubts it, and settles an earlier doubt.
func (t *Table) put(now time.Time, r Record, by string) *entry {
	e := t.records[r.ID]
	if e == nil || now.After(e.until) && e.runs == 0 {
		if e == nil && len(t.records) >= t.cfg.Max {
			return nil
		}
		e = &entry{Origin: r.Origin, by: by, since: now, doubted: r.Doubted}
		t.records[r.ID] = e
	}
	e.conflicting = e.conflicting || e.Origin != r.Origin
	e.doubted, e.lost = e.doubted && r.Doubted, e.lost || r.Lost
	e.until = now.Add(t.cfg.Life)
	return e
}

// Lookup returns what is known of the stream.
func (t *Table) Lookup(now time.Time, id ID) (Known, bool) {
	e := t.records[id]
	if e == nil || now.After(e.until) && e.runs == 0 {
		return Known{}, false
	}
	return Known{Origin: e.Origin, By: e.by, For: now.Sub(e.since), Uncertain: e.conflicting || e.doubted, MayEnd: e.doubted && !e.conflicting && !e.lost}, true
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// lookInterval is the interval between two looks at all records for those to be announced again, which
// also finds those of a service that has got a second version.
const lookInterval = 100 * time.Millisecond

// Due returns the records to be announced now: near, in the data centre, and far, beyond it. Only
// streams that run here are announced, and only those of services that are mixed, whose routes have
// several services, or whose origin is doubted; what became of a doubt is announced twice, also later.
func (t *Table) Due(now time.Time, isMixed func(service string) bool) (near, far []Record) {
	look := func(id ID) {
		e := t.records[id]
		if e == nil || e.runs == 0 && !e.hasNews || e.conflicting || !e.isSplit && !e.doubted && !e.hasNews && !isMixed(e.Service) {
			return
		}
		if e.toldNear.IsZero() || now.Sub(e.toldNear) >= t.cfg.Refresh {
			e.hasNews = e.hasNews && e.toldNear.IsZero()
			near, e.toldNear = append(near, e.record(id)), now
		}
		if e.tellings == 0 || e.tellings == 1 && now.Sub(e.toldFar) >= t.cfg.Repeat {
			far, e.toldFar = append(far, e.record(id)), now
			e.tellings++
		}
	}
	for _, id := range t.fresh {
		look(id)
	}
	t.fresh = t.fresh[:0]
	if now.Sub(t.looked) >= lookInterval {
		t.looked = now
		for id := range t.records {
			look(id)
		}
	}
	return near, far
}

// Tick drops expired records.
func (t *Table) Tick(now time.Time) {
	if now.Sub(t.dropped) < time.Second {
		return
	}
	t.dropped = now
	for id, e := range t.records {
		if e.runs == 0 && now.After(e.until) {
			delete(t.records, id)
		}
	}
}

// Fleet is the other routers as one router knows them.
type Fleet struct {
	// Near are those of its data centre, Far all others.
	Near, Far []string
}

// Numbers of routers that are asked in a large fleet. The first by rank are those that were informed,
// unless routers came or went since; askAll is the size up to which all are asked.
const (
	askNear = 2
	askFar  = 2
	askAny  = 3
	askAll  = 8
)

// Owners returns the routers that are informed of the stream: near and far. Where the router is alone
// in its data centre, or there is no other one, two of the same kind are informed.
func (f Fleet) Owners(id ID) (near, far []string) {
	near, far = top(f.Near, id, 1), top(f.Far, id, 1)
	switch {
	case len(near) == 0:
		far = top(f.Far, id, 2)
	case len(far) == 0:
		near = top(f.Near, id, 2)
	}
	return near, far
}

// Holders returns the routers that may have been informed of the stream, by whichever router.
func (f Fleet) Holders(id ID) []string {
	all := slices.Concat(f.Near, f.Far)
	if len(all) <= askAll {
		return all
	}
	out := append(top(f.Near, id, askNear), top(f.Far, id, askFar)...)
	for _, one := range top(all, id, askAny) {
		if !slices.Contains(out, one) {
			out = append(out, one)
		}
	}
	return out
}

// top returns the first n routers by rank for the stream.
func top(routers []string, id ID, n int) []string {
	out, ranks := make([]string, 0, n+1), make([]uint64, 0, n+1)
	for _, router := range routers {
		rank := rankOf(router, id)
		at := len(out)
		for at > 0 && ranks[at-1] > rank {
			at--
		}
		if at >= n {
			continue
		}
		out, ranks = slices.Insert(out, at, router), slices.Insert(ranks, at, rank)
		if len(out) > n {
			out, ranks = out[:n], ranks[:n]
		}
	}
	return out
}

// rankOf returns the rank of the router for the stream, which does not depend on other routers.
func rankOf(router string, id ID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(id))
	_, _ = d.WriteString(router)
	return d.Sum64()
}
