package claim

import (
	"fmt"
	"time"

	"goldcrestport/state/claims"
)

// pendingSegment is a segment whose records are being moved out of a shard's
// value.
type pendingSegment struct {
	segment claims.Segment
	table   *claims.Table
	// version of the shard's value that the records were copied from.
	version uint64
	// stored is true once the segment is written and may be referenced.
	stored bool
}

// emptySegment replaces a segment that has expired.
var emptySegment = &claims.Table{}

// segment returns the records of a segment. All segments that have not expired
// are read before the shard's records are used.
func (sh *shard) segment(g claims.Segment) *claims.Table {
	if t := sh.segments[g.ID]; t != nil {
		return t
	}
	return emptySegment
}

// unreadSegment returns the id of a segment that must be read before any key of
// the shard is decided, or "": a key must not be granted while an unread segment
// may contain it.
func (s *State) unreadSegment(now time.Time, sh *shard) string {
	for _, g := range sh.table.Sealed {
		if sh.segments[g.ID] == nil && !g.Expired(now, s.cfg.Expiry) {
			return g.ID
		}
	}
	return ""
}

// dropUnreferenced drops the segments that the table no longer references.
func (sh *shard) dropUnreferenced() {
	referenced := map[string]*claims.Table{}
	for _, g := range sh.table.Sealed {
		if t := sh.segments[g.ID]; t != nil {
			referenced[g.ID] = t
		}
	}
	sh.segments = referenced
}

func (s *State) segmentDone(now time.Time, ev SegmentDone) {
	sh := s.shards[ev.Shard]
	if !s.finishRead(now, sh, ev.Result) {
		return
	}
	if sh.segments == nil {
		sh.segments = map[string]*claims.Table{}
	}
	sh.segments[ev.ID] = ev.Table
	s.advance(now, sh)
}

// seal starts moving the ended records of a large value to a segment. It
// returns false if that isn't needed or possible now.
func (s *State) seal(now time.Time, sh *shard) bool {
	if !sh.home || sh.size < s.cfg.SealBytes || len(sh.table.Sealed) >= s.cfg.MaxSealed || now.Before(sh.sealAt) {
		return false
	}
	if sh.pendingSegment != nil && sh.pendingSegment.version == sh.version {
		return false
	}
	ended, last := sh.table.Ended()
	if len(ended.Records) < len(sh.table.Records)/2 {
		return false
	}
	value, err := ended.Encode()
	if err != nil {
		return false
	}
	id := fmt.Sprintf("%08x", s.rng.Uint32())
	sh.pendingSegment = &pendingSegment{segment: claims.Segment{ID: id, Last: last}, table: ended, version: sh.version}
	sh.busy = true
	s.emit(Seal{Shard: sh.id, ID: id, Value: value})
	return true
}

func (s *State) sealDone(now time.Time, ev SealDone) {
	sh := s.shards[ev.Shard]
	sh.busy = false
	if ev.Result == OK {
		sh.pendingSegment.stored = true
	} else {
		sh.pendingSegment = nil
		sh.sealAt = now.Add(s.cfg.BackoffMax)
	}
	s.advance(now, sh)
}

// withSegment returns the next table with a reference to the stored segment in
// place of its records, if the segment was copied from the version that is being
// replaced.
func (sh *shard) withSegment(next *claims.Table, changes map[claims.Key]*claims.Record) *claims.Table {
	pending := sh.pendingSegment
	if pending == nil || !pending.stored || pending.version != sh.version {
		return next
	}
	return next.Seal(pending.segment, pending.table, changes)
}

// adoptSegment caches the records of a segment that the written table
// references.
func (sh *shard) adoptSegment() {
	pending := sh.pendingSegment
	sh.pendingSegment = nil
	if pending == nil || !pending.stored {
		return
	}
	if sh.segments == nil {
		sh.segments = map[string]*claims.Table{}
	}
	sh.segments[pending.segment.ID] = pending.table
	sh.dropUnreferenced()
}
