package partquarantine

import (
	"slices"
	"time"
)

// shareSamples is the number of requests that count as those of other groups until more came.
const shareSamples = 8

// share returns the share of the group in the requests with suspect parts.
func (s *State) share(g *group) float64 {
	return float64(g.arrivals) / float64(s.arrivals+shareSamples)
}

// isSuspect reports whether the requests with the part are isolated.
func (s *State) isSuspect(p Part) bool {
	known := s.suspects[p]
	return known != nil && known.count >= s.cfg.Suspicion
}

// groupOf returns the key of the request's suspect parts, and whether it has any.
func (s *State) groupOf(parts []Part) (key uint64, found bool) {
	for _, p := range parts {
		if s.isSuspect(p) {
			key, found = mix(key, p), true
		}
	}
	return key, found
}

// group returns the group with the key, and counts its crashes if the evidence changed.
func (s *State) group(key uint64, parts []Part) *group {
	g := s.groups[key]
	if g == nil {
		if len(s.groups) >= maxGroups {
			clear(s.groups)
			s.arrivals = 0
		}
		g = &group{}
		s.groups[key] = g
	}
	if g.counted {
		return g
	}
	g.counted, g.crashes, g.lastCrash = true, 0, time.Time{}
	suspects := slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return !s.isSuspect(p) })
	for _, c := range s.crashOrder {
		if slices.ContainsFunc(c.runs, func(r runParts) bool { return countIn(suspects, r.parts) == len(suspects) }) {
			g.crashes++
			g.lastCrash = latest(g.lastCrash, c.at)
		}
	}
	return g
}

// maxGroups bounds the groups; beyond it, the counts of their arrivals restart.
const maxGroups = 1024

// keyMultiplier is 2^64 divided by the golden ratio, an odd number that spreads keys evenly.
const keyMultiplier = 0x9e3779b97f4a7c15

// mix adds a part to the key of a group.
func mix(key uint64, p Part) uint64 { return (key ^ uint64(p)) * keyMultiplier }
