package quarantine

import (
	"time"

	"goldcrestport/coordination/turns"
)

// Refusals are kept in the store, so that they survive the loss of all routers. The routers write
// them in turns; the one that wrote an entry removes it.

// ToKeep returns the refused requests that this router has to write to the store, or to write
// again because probes were sent or half of the entry's life is over.
func (s *State) ToKeep(now time.Time, ttl time.Duration) []Entry {
	var out []Entry
	for _, entry := range s.List() {
		r := s.records[entry.Content]
		if now.Sub(r.storedAt) < ttl/2 && r.storedProbes >= r.probes {
			r.unsavedSince = time.Time{}
			continue
		}
		if r.unsavedSince.IsZero() {
			r.unsavedSince = now
		}
		if !now.Before(turns.At(r.unsavedSince, entry.Content.String(), s.self, s.routers)) {
			out = append(out, entry)
		}
	}
	return out
}

// Kept records that this router wrote the entry to the store.
func (s *State) Kept(now time.Time, entry Entry) {
	if r := s.records[entry.Content]; r != nil {
		r.storedAt, r.storedProbes, r.storedHere = now, entry.Trials, true
	}
}

// ToDrop returns the requests that this router wrote to the store and that are not refused any
// more.
func (s *State) ToDrop() []Fingerprint {
	var out []Fingerprint
	for fp, r := range s.records {
		if r.storedHere && r.refusedAt.IsZero() {
			out = append(out, fp)
		}
	}
	return out
}

// Dropped records that the request's entry was removed from the store.
func (s *State) Dropped(fp Fingerprint) {
	if r := s.records[fp]; r != nil {
		r.storedAt, r.storedHere = time.Time{}, false
	}
}

// Stored merges the entries of the store. Their times are from the clock of whoever wrote
// them; a time later than now counts as now. IsNew is set if they were written just now.
func (s *State) Stored(now time.Time, entries []Entry, isNew bool) {
	var report Report
	for _, entry := range entries {
		refusal := RefusalReport{Content: entry.Content, Age: max(now.Sub(entry.Since), 0), Trials: entry.Trials}
		for _, strike := range entry.Reasons {
			refusal.Reasons = append(refusal.Reasons, StrikeReport{Server: strike.Server, Age: max(now.Sub(strike.At), 0)})
		}
		report.Refusals = append(report.Refusals, refusal)
	}
	s.Merge(now, storeReporter, report)
	if isNew {
		s.noteStored(now, entries)
	}
}

// noteStored records that the entries were written by some router.
func (s *State) noteStored(now time.Time, entries []Entry) {
	for _, entry := range entries {
		if r := s.refused[entry.Content]; r != nil {
			r.storedAt, r.storedProbes = now, entry.Trials
		}
	}
}

// storeReporter stands for the store among the routers that reported something.
const storeReporter = "store"
