package partquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"goldcrestport/coordination/turns"
)

// Refused sets are kept in the store, so that they survive the loss of all routers. The routers write
// and remove them in turns.

// SetID identifies a refused set in the store.
type SetID uint64

// String returns the id as 16 hexadecimal digits.
func (id SetID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// IDOf returns the id of the set of sorted parts.
func IDOf(parts []Part) SetID {
	var key uint64
	for _, p := range parts {
		key = mix(key, p)
	}
	return SetID(key)
}

// storedSet is what is known of a set's entry in the store.
type storedSet struct {
	// at is when it was written last; zero if that is not known.
	at time.Time
	// probes and partial are the numbers that it has.
	probes, partial int
	// goneAt is when the set was found to be refused no more; zero if it is refused.
	goneAt time.Time
}

// turnAt returns when it is this router's turn to write or remove the entry.
func (s *State) turnAt(id SetID, from time.Time) time.Time {
	return turns.At(from, id.String(), s.self, s.routers)
}

// ToStore returns the refused sets that this router has to write to the store: those that are not
// there with the present numbers, and those of which half of the given lifetime is over.
func (s *State) ToStore(now time.Time, ttl time.Duration) []Entry {
	var out []Entry
	for _, one := range s.refusals {
		id := IDOf(one.parts)
		entry, is := s.stored[id]
		isCurrent := is && entry.probes >= one.probes && entry.partial >= one.partial && now.Sub(entry.at) < ttl/2
		if isCurrent {
			one.unsavedSince = time.Time{}
			continue
		}
		if one.unsavedSince.IsZero() {
			one.unsavedSince = now
		}
		if !now.Before(s.turnAt(id, one.unsavedSince)) {
			out = append(out, one.entry())
		}
	}
	return out
}

// WasStored records that the entry was written to the store.
func (s *State) WasStored(now time.Time, e Entry) {
	s.noteStored(IDOf(e.Parts), storedSet{at: now, probes: e.Probes, partial: e.Partial})
}

// noteStored records the entry of a set. Entries beyond the bound are ignored: they end by themselves.
func (s *State) noteStored(id SetID, entry storedSet) {
	if _, is := s.stored[id]; is || len(s.stored) < 2*s.cfg.MaxRefusals {
		s.stored[id] = entry
	}
}

// ToRemove returns the sets that are in the store, are refused no more, and which this router has to
// remove.
func (s *State) ToRemove(now time.Time) []SetID {
	refused := make(map[SetID]bool, len(s.refusals))
	for _, one := range s.refusals {
		refused[IDOf(one.parts)] = true
	}
	var out []SetID
	for id, entry := range s.stored {
		switch {
		case refused[id]:
			entry.goneAt = time.Time{}
		case entry.goneAt.IsZero():
			entry.goneAt = now
		}
		s.stored[id] = entry
		if !refused[id] && !now.Before(s.turnAt(id, entry.goneAt)) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b SetID) int { return cmp.Compare(a, b) })
	return out
}

// WasRemoved records that the store has no entry of the set any more. A set that is refused all the
// same is written again.
func (s *State) WasRemoved(id SetID) { delete(s.stored, id) }

// Stored merges entries of the store. Their times are from the clock of whoever wrote them; a time
// later than now counts as now. IsNew is set if they were written just now.
func (s *State) Stored(now time.Time, entries []Entry, isNew bool) {
	var report Report
	for _, e := range entries {
		id := IDOf(e.Parts)
		entry := storedSet{probes: e.Probes, partial: e.Partial, at: s.stored[id].at}
		if isNew {
			entry.at = now
		}
		s.noteStored(id, entry)
		report.Refusals = append(report.Refusals, RefusalReport{Parts: e.Parts, Age: max(now.Sub(e.Since), 0), Probes: e.Probes, Partial: e.Partial, Servers: e.Servers})
	}
	s.Merge(now, report)
}
