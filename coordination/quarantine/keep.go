package quarantine

import "time"

// What is refused is entered in the store by one router of the fleet, so that it
// outlives them all.

// ToKeep returns the refused contents that this router is to enter in the store, or
// to enter again, as half of an entry's life is over.
func (s *State) ToKeep(now time.Time, life time.Duration) []Entry {
	var out []Entry
	for _, one := range s.List() {
		if s.owner(one.Content) == s.self && now.Sub(s.records[one.Content].kept) >= life/2 {
			out = append(out, one)
		}
	}
	return out
}

// Kept notes that the content was entered.
func (s *State) Kept(now time.Time, content Fingerprint) {
	if r := s.records[content]; r != nil {
		r.kept = now
	}
}

// ToDrop returns the contents that this router entered and that are not refused any
// more.
func (s *State) ToDrop() []Fingerprint {
	var out []Fingerprint
	for content, r := range s.records {
		if !r.kept.IsZero() && r.held.IsZero() {
			out = append(out, content)
		}
	}
	return out
}

// Dropped notes that the content's entry was removed.
func (s *State) Dropped(content Fingerprint) {
	if r := s.records[content]; r != nil {
		r.kept = time.Time{}
	}
}

// Stored takes what the store has. Its times are of the clock of whoever wrote them; a
// later one than now counts as now.
func (s *State) Stored(now time.Time, entries []Entry) {
	var report Report
	for _, one := range entries {
		held := HeldReport{Content: one.Content, Age: max(now.Sub(one.Since), 0), Trials: one.Trials}
		for _, strike := range one.Reasons {
			held.Reasons = append(held.Reasons, StrikeReport{Server: strike.Server, Age: max(now.Sub(strike.At), 0)})
		}
		report.Held = append(report.Held, held)
	}
	s.Told(now, storeTold, report)
}

// storeTold stands for the store among the routers that told something.
const storeTold = "store"
