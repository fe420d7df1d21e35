package claim

import (
	"fmt"
	"time"

	"goldcrestport/state/claims"
)

// sealing is a segment on its way out of a shard's value.
type sealing struct {
	segment claims.Segment
	table   *claims.Table
	// version of the shard's value that the records were taken from.
	version uint64
	// stored tells that the segment is written, so that it may be named.
	stored bool
}

// noSegment stands for a segment that has expired.
var noSegment = &claims.Table{}

// segment returns the records of a segment. All that have not expired were
// read before the shard is looked at.
func (sh *shard) segment(g claims.Segment) *claims.Table {
	if t := sh.segments[g.ID]; t != nil {
		return t
	}
	return noSegment
}

// missing returns a segment that must be read before the shard's records are
// known: a key may not be granted while it may stand in an unread segment.
func (s *State) missing(now time.Time, sh *shard) string {
	for _, g := range sh.table.Sealed {
		if sh.segments[g.ID] == nil && !g.Expired(now, s.cfg.Expiry) {
			return g.ID
		}
	}
	return ""
}

// forget drops the segments that the table does not name any more.
func (sh *shard) forget() {
	kept := map[string]*claims.Table{}
	for _, g := range sh.table.Sealed {
		if t := sh.segments[g.ID]; t != nil {
			kept[g.ID] = t
		}
	}
	sh.segments = kept
}

func (s *State) segmentDone(now time.Time, ev SegmentDone) {
	sh := s.shards[ev.Shard]
	if !s.readEnded(now, sh, ev.Result) {
		return
	}
	if sh.segments == nil {
		sh.segments = map[string]*claims.Table{}
	}
	sh.segments[ev.ID] = ev.Table
	s.advance(now, sh)
}

// seal starts to move the ended records of a large value to a segment. It
// returns false if there is no need.
func (s *State) seal(now time.Time, sh *shard) bool {
	if !sh.home || sh.size < s.cfg.SealBytes || len(sh.table.Sealed) >= s.cfg.MaxSealed || now.Before(sh.sealAt) {
		return false
	}
	if sh.sealing != nil && sh.sealing.version == sh.version {
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
	sh.sealing = &sealing{segment: claims.Segment{ID: id, Last: last}, table: ended, version: sh.version}
	sh.busy = true
	s.emit(Seal{Shard: sh.id, ID: id, Value: value})
	return true
}

func (s *State) sealDone(now time.Time, ev SealDone) {
	sh := s.shards[ev.Shard]
	sh.busy = false
	if ev.Result == OK {
		sh.sealing.stored = true
	} else {
		sh.sealing = nil
		sh.sealAt = now.Add(s.cfg.BackoffMax)
	}
	s.advance(now, sh)
}

// sealed returns the next table with the stored segment named instead of its
// records, if the segment was taken from the value that is replaced.
func (sh *shard) sealed(next *claims.Table, changes map[claims.Key]*claims.Record) *claims.Table {
	g := sh.sealing
	if g == nil || !g.stored || g.version != sh.version {
		return next
	}
	return next.Seal(g.segment, g.table, changes)
}

// adoptSegment keeps the records of a segment that the written table names.
func (sh *shard) adoptSegment() {
	g := sh.sealing
	sh.sealing = nil
	if g == nil || !g.stored {
		return
	}
	if sh.segments == nil {
		sh.segments = map[string]*claims.Table{}
	}
	sh.segments[g.segment.ID] = g.table
	sh.forget()
}
