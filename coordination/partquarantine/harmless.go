package partquarantine

import (
	"slices"
	"time"
)

// clearSurvivors clears the parts of runs that survived.
func (s *State) clearSurvivors(now time.Time) {
	for _, at := range s.servers {
		for r := range at.runs {
			if !r.shownAt.IsZero() && (r.ended || now.Sub(r.shownAt) < s.cfg.Survival) || !s.survives(now, at, r) {
				continue
			}
			s.settle(r)
			r.shownAt = now
			s.countSurvivor(now, r)
		}
	}
}

// countSurvivor records that the run crashed nothing.
func (s *State) countSurvivor(now time.Time, r *Run) {
	for _, p := range s.partsOf(r.service, r.prefixes) {
		s.survived(now, p)
	}
}

// survived records that a run with the part crashed nothing.
func (s *State) survived(now time.Time, p Part) {
	if _, known := s.harmless[p]; !known && len(s.harmless) >= s.cfg.MaxHarmless {
		s.dropHarmless(now)
		if len(s.harmless) >= s.cfg.MaxHarmless {
			return
		}
	}
	s.harmless[p] = latest(s.harmless[p], now)
	if s.counts(p) {
		s.unsent.addHarmless(p)
		s.events = append(s.events, Event{Kind: Cleared, Parts: []Part{p}})
		s.cleared(now, p)
	}
}

// counts reports whether something is known against the part.
func (s *State) counts(p Part) bool {
	return s.suspects[p] != nil || slices.ContainsFunc(s.refusals, func(one *refusal) bool { return slices.Contains(one.parts, p) })
}

// cleared removes the part from what is suspected, and from what is refused for crashes that do not
// count any more since it was known to be harmless.
func (s *State) cleared(at time.Time, p Part) {
	delete(s.suspects, p)
	s.stale = true
	for _, one := range s.refusals {
		if !at.Add(s.cfg.HarmlessTTL).Before(one.since) {
			if slices.Contains(one.parts, p) {
				s.released[p] = true
			}
			one.parts = slices.DeleteFunc(one.parts, func(other Part) bool { return other == p })
		}
	}
	s.refusals = slices.DeleteFunc(s.refusals, func(one *refusal) bool { return len(one.parts) == 0 })
}

// dropInterval is the interval between searches for what may be dropped.
const dropInterval = time.Second

// dropHarmless drops what is too old to matter for a further crash and no crash names.
func (s *State) dropHarmless(now time.Time) {
	if now.Sub(s.harmlessDropped) < dropInterval {
		return
	}
	s.harmlessDropped = now
	named := make(map[Part]struct{})
	for _, c := range s.crashOrder {
		for _, r := range c.runs {
			for _, p := range r.parts {
				named[p] = struct{}{}
			}
		}
	}
	for p, at := range s.harmless {
		if _, is := named[p]; !is && now.Sub(at) > s.harmlessFor(p) {
			delete(s.harmless, p)
			delete(s.released, p)
		}
	}
}

// harmlessFor returns for how long it is remembered that the part is harmless, if no crash names it.
func (s *State) harmlessFor(p Part) time.Duration {
	if s.released[p] {
		return s.cfg.CrashTTL
	}
	return s.cfg.HarmlessTTL
}
