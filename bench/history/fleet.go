package history

import (
	"maps"
	"slices"
	"time"

	"goldcrestport/protocol/outcome"
)

// checkLeaving looks for runs that started too late after a leave. While the
// platform is failing, or the server's own sidecar, nobody can know of the
// leave: the bound counts from the end of that.
func checkLeaving(h *History, b Bounds) Result {
	res := Result{Promise: LeavingNoWork}
	for _, l := range h.Leaves {
		late := knowable(h, l, b).Add(b.Leaving)
		if !late.Before(l.Until) {
			continue
		}
		res.Checked++
		for _, r := range h.Runs {
			if r.Server == l.Server && r.Started.After(late) && r.Started.Before(l.Until) {
				res.breach("%s was leaving (%s) and started call %s %s later", l.Server, l.How, r.CallID, r.Started.Sub(l.From))
			}
		}
	}
	return res
}

// knowable returns from when on the fleet could know of the leave.
func knowable(h *History, l Leave, b Bounds) time.Time {
	from := l.From
	for moved := true; moved; {
		moved = false
		for _, f := range h.Faults {
			if f.Planned || f.Target != l.Server && f.Target != platformTarget {
				continue
			}
			if f.From.Before(from.Add(b.Leaving)) && f.Until.After(from) {
				from, moved = f.Until, true
			}
		}
	}
	return from
}

// LastStart returns how long after the leave its server last started a run
// while it was away, 0 when it started none.
func (h *History) LastStart(l Leave) time.Duration {
	var last time.Duration
	for _, r := range h.Runs {
		if r.Server == l.Server && r.Started.After(l.From) && r.Started.Before(l.Until) {
			last = max(last, r.Started.Sub(l.From))
		}
	}
	return last
}

// span is a stretch of time.
type span struct{ from, until time.Time }

// checkStarvation looks for a stretch after the last failure in which a team
// had open work all the time and none of it completed.
func checkStarvation(h *History, b Bounds) Result {
	res := Result{Promise: NoStarvation}
	after := lastFault(h)
	done, open := map[string][]time.Time{}, map[string][]span{}
	for _, o := range h.Operations {
		open[o.Team] = append(open[o.Team], span{o.Started, o.Ended})
		if o.Result == outcome.Completed {
			done[o.Team] = append(done[o.Team], o.Ended)
		}
	}
	for _, team := range slices.Sorted(maps.Keys(open)) {
		res.Checked++
		for _, s := range joined(open[team]) {
			from, until := latest(s.from, after), s.until
			for _, gap := range gaps(from, until, done[team]) {
				if gap > b.Starve {
					res.breach("team %s had open work and no completion for %s", team, gap)
				}
			}
		}
	}
	return res
}

func lastFault(h *History) time.Time {
	var last time.Time
	for _, f := range h.Faults {
		if !f.Planned {
			last = latest(last, f.Until)
		}
	}
	return last
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// joined joins spans that overlap.
func joined(spans []span) []span {
	slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	var out []span
	for _, s := range spans {
		if n := len(out); n > 0 && !s.from.After(out[n-1].until) {
			out[n-1].until = latest(out[n-1].until, s.until)
		} else {
			out = append(out, s)
		}
	}
	return out
}

// gaps returns the pauses between the marks in a stretch of time.
func gaps(from, until time.Time, marks []time.Time) []time.Duration {
	if !from.Before(until) {
		return nil
	}
	var out []time.Duration
	last := from
	for _, m := range slices.SortedFunc(slices.Values(marks), time.Time.Compare) {
		if m.After(last) && !m.After(until) {
			out = append(out, m.Sub(last))
			last = m
		}
	}
	return append(out, until.Sub(last))
}
