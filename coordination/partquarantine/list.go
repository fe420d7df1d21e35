package partquarantine

import (
	"slices"
	"time"
)

// Entry is a refused set as listed to operators, and as the store has it.
type Entry struct {
	// Parts are sorted.
	Parts []Part
	Since time.Time
	// Probes and Partial are the numbers of probes with all and with some of the parts.
	Probes, Partial int
	// Servers crashed under the parts.
	Servers []string
}

func (r *refusal) entry() Entry {
	return Entry{Parts: slices.Clone(r.parts), Since: r.since, Probes: r.probes, Partial: r.partial, Servers: slices.Clone(r.servers)}
}

// List returns the refused sets, the latest first.
func (s *State) List() []Entry {
	var out []Entry
	for _, one := range s.refusals {
		out = append(out, one.entry())
	}
	slices.SortFunc(out, func(a, b Entry) int { return b.Since.Compare(a.Since) })
	return out
}

// Explained returns the servers at whose crashes a request was that is refused now, also those that
// the store names.
func (s *State) Explained() []string {
	var out []string
	for _, one := range s.refusals {
		out = append(out, one.servers...)
	}
	for _, c := range s.crashOrder {
		if s.isExplained(c) {
			out = append(out, c.server)
		}
	}
	return out
}

// RefusedCount returns the number of refused sets.
func (s *State) RefusedCount() int { return len(s.refusals) }

// Suspects returns the number of parts whose requests are isolated.
func (s *State) Suspects() int {
	n := 0
	for _, one := range s.suspects {
		if one.count >= s.cfg.Suspicion {
			n++
		}
	}
	return n
}

// Release clears a part on behalf of an operator. It reports whether anything was known against it.
func (s *State) Release(now time.Time, p Part) bool {
	s.refresh(now)
	if !s.counts(p) {
		return false
	}
	s.survived(now, p)
	return true
}

// EventKind is the kind of an event.
type EventKind string

const (
	// Refused: requests with all the parts are refused from now on.
	Refused EventKind = "refused"
	// Cleared: the part is harmless.
	Cleared EventKind = "cleared"
)

// Event is a change in what the router knows.
type Event struct {
	Kind  EventKind
	Parts []Part
	// Servers crashed under the parts.
	Servers []string
	// ByPeer is set if another router reported it.
	ByPeer bool
}

// Events returns the events since the last call.
func (s *State) Events() []Event {
	out := s.events
	s.events = nil
	return out
}
