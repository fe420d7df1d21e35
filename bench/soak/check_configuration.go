package soak

import (
	"fmt"
	"slices"
	"time"
)

// life is one life of a router process.
type life struct{ router, number int }

// known is the newest change of which a life has shown the effect.
type known struct {
	change int
	sent   time.Time
}

// oldConfiguration follows the route that moves. A run fits the oldest change
// from which on the route led there; if that is older than what the process has
// shown before, or than what must be in force, the promise is broken.
func oldConfiguration(r *Record) []string {
	calls := slices.Clone(r.Calls)
	slices.SortFunc(calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	seen := map[life]known{}
	var out []string
	for _, c := range calls {
		for _, run := range r.Runs[c.ID] {
			if c.Kind != Moved || c.Life == 0 {
				continue
			}
			at := life{c.Router, c.Life}
			from := 0
			if s := seen[at]; c.Sent.Sub(s.sent) > downgrade {
				from = s.change
			}
			if r.undisturbed(c.Router, c.Sent.Add(-configApply), c.Sent) {
				from = max(from, r.inForce(c.Sent))
			}
			change, fits := r.leadsTo(run.Service, from, run.Began)
			if !fits {
				out = append(out, fmt.Sprintf("%s at %v ran at %s, though change %d was known", c.ID, at, run.Service, from))
				continue
			}
			if change > seen[at].change {
				seen[at] = known{change, run.Began}
			}
		}
	}
	return out
}

// inForce is the newest change that must be in force at the time.
func (r *Record) inForce(at time.Time) int {
	newest := 0
	for i, c := range r.Changes {
		if at.After(c.Acked.Add(configApply)) {
			newest = i
		}
	}
	return newest
}

// leadsTo finds the first change, from the given one on and sent before the
// time, that leads to the service.
func (r *Record) leadsTo(service string, from int, before time.Time) (int, bool) {
	for i := from; i < len(r.Changes) && r.Changes[i].Sent.Before(before); i++ {
		if r.Changes[i].Moved == service {
			return i, true
		}
	}
	return 0, false
}
