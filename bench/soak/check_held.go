package soak

import (
	"fmt"
	"slices"
	"time"

	"goldcrestport/standin/backend"
)

// endSlack is the time after the end of a call up to which a run of it may still begin: its
// router has been notified of the end and cancelled every attempt by then.
const endSlack = time.Second

// eachLateRun hands each run that began after the moment to take, of calls whose router ran
// and was reached by its callers meanwhile. That links held the bytes excuses nothing: their
// sender had given them up.
func (r *Record) eachLateRun(c Call, after time.Time, take func(run backend.Run)) {
	for _, run := range r.Runs[c.ID] {
		if run.Began.After(after) && !r.unaware(c.Router, c.Sent, run.Began) {
			take(run)
		}
	}
}

// unaware reports whether the router did not run, or read from its callers late, for a part of the
// span.
func (r *Record) unaware(router int, from, until time.Time) bool {
	kinds := []string{freeze, callersHeld, callersDelayed}
	return slices.ContainsFunc(r.Failures, func(f Failure) bool {
		return f.Router == router && slices.Contains(kinds, f.Kind) && f.within(from, until)
	})
}

// ranAfterEnd finds requests that a server began to run after they had ended for their callers:
// answered elsewhere, refused, or given up.
func ranAfterEnd(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		end := c.Ended
		if !c.Left.IsZero() {
			end = c.Left
		}
		r.eachLateRun(c, end.Add(endSlack), func(run backend.Run) {
			out = append(out, fmt.Sprintf("%s (%s) at router %d ended at %v with %d and began at %s %v later", c.ID, c.Kind, c.Router, end, c.Status, run.Server, run.Began.Sub(end)))
		})
	}
	return out
}

// arrivedAfterDeparture finds requests that a server began to run later than the bound after
// the store had taken that it leaves, though they had been sent before and ended for their
// callers in time: what was on its way was not taken back.
func arrivedAfterDeparture(r *Record) []string {
	left := map[string]time.Time{}
	for _, d := range r.Departures {
		left[d.Server] = d.Acked
	}
	var out []string
	for _, c := range r.Calls {
		r.eachLateRun(c, c.Ended, func(run backend.Run) {
			acked, leaving := left[run.Server]
			if leaving && c.Sent.Before(acked) && run.Began.After(acked.Add(drain)) {
				out = append(out, fmt.Sprintf("%s (%s) at router %d began at %s %v after its leaving, %v after its end", c.ID, c.Kind, c.Router, run.Server, run.Began.Sub(acked), run.Began.Sub(c.Ended)))
			}
		})
	}
	return out
}
