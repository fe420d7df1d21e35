package quarantine

import "time"

// One router of the fleet writes each refusal to the store, so that it survives the loss of
// all routers.

// ToKeep returns the refused requests that this router has to write to the store, or to write
// again because half of the entry's life is over.
func (s *State) ToKeep(now time.Time, ttl time.Duration) []Entry {
	var out []Entry
	for _, entry := range s.List() {
		if s.owner(entry.Content) == s.self && now.Sub(s.records[entry.Content].storedAt) >= ttl/2 {
			out = append(out, entry)
		}
	}
	return out
}

// Kept records that the refusal was written to the store.
func (s *State) Kept(now time.Time, fp Fingerprint) {
	if r := s.records[fp]; r != nil {
		r.storedAt = now
	}
}

// ToDrop returns the requests that this router wrote to the store and that are not refused any
// more.
func (s *State) ToDrop() []Fingerprint {
	var out []Fingerprint
	for fp, r := range s.records {
		if !r.storedAt.IsZero() && r.refusedAt.IsZero() {
			out = append(out, fp)
		}
	}
	return out
}

// Dropped records that the request's entry was removed from the store.
func (s *State) Dropped(fp Fingerprint) {
	if r := s.records[fp]; r != nil {
		r.storedAt = time.Time{}
	}
}

// Stored merges the entries of the store. Their times are from the clock of whoever wrote
// them; a time later than now counts as now.
func (s *State) Stored(now time.Time, entries []Entry) {
	var report Report
	for _, entry := range entries {
		refusal := RefusalReport{Content: entry.Content, Age: max(now.Sub(entry.Since), 0), Trials: entry.Trials}
		for _, strike := range entry.Reasons {
			refusal.Reasons = append(refusal.Reasons, StrikeReport{Server: strike.Server, Age: max(now.Sub(strike.At), 0)})
		}
		report.Refusals = append(report.Refusals, refusal)
	}
	s.Merge(now, storeReporter, report)
}

// storeReporter stands for the store among the routers that reported something.
const storeReporter = "store"
