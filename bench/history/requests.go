package history

import (
	"maps"
	"net/http"
	"slices"

	"goldcrestport/protocol/outcome"
)

// checkAtMostOnce counts the runs of each non-idempotent call and of each
// idempotency key of such calls.
func checkAtMostOnce(h *History, x index) Result {
	res := Result{Promise: AtMostOnce}
	keys := map[string]bool{}
	for _, c := range h.Calls {
		if !c.NonIdempotent {
			continue
		}
		res.Checked++
		if n := len(x.byCall[c.ID]); n > 1 {
			res.breach("call %s ran %d times: %s", c.ID, n, places(x.byCall[c.ID]))
		}
		if c.Key != "" {
			keys[c.Key] = true
		}
	}
	for _, r := range h.Runs {
		if _, known := x.calls[r.CallID]; !known {
			res.breach("%s ran %q, which no caller sent", r.Server, r.CallID)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if n := len(x.byKey[key]); n > 1 {
			res.breach("key %s ran %d times: %s", key, n, places(x.byKey[key]))
		}
	}
	return res
}

func places(runs []Run) string {
	text := ""
	for _, r := range runs {
		text += r.CallID + " on " + r.Server + " at " + r.Started.Format("15:04:05.000") + " " + string(r.State) + "; "
	}
	return text
}

// checkNotRun looks for runs of calls whose callers were told not-run, or
// that could not be sent.
func checkNotRun(h *History, x index) Result {
	res := Result{Promise: NotRun}
	for _, c := range h.Calls {
		if c.Ending != Unsent && c.Outcome != outcome.NotRun {
			continue
		}
		res.Checked++
		if runs := x.byCall[c.ID]; len(runs) > 0 {
			res.breach("call %s was refused as not-run (%s) through %s and ran: %s", c.ID, c.Reason, c.Router, places(runs))
		}
	}
	return res
}

// checkWholeAnswer compares every answer that ended cleanly with what a
// backend server generated for that call.
func checkWholeAnswer(h *History, x index) Result {
	res := Result{Promise: WholeAnswer}
	for _, c := range h.Calls {
		if c.Ending != Answered {
			continue
		}
		res.Checked++
		switch {
		case c.Outcome == "":
			res.breach("call %s ended with status %d and no outcome", c.ID, c.Status)
		case c.Outcome != outcome.Completed && !c.Problem && c.Status < http.StatusInternalServerError:
			res.breach("call %s ended as %s without a problem document", c.ID, c.Outcome)
		case c.Outcome == outcome.Completed && !own(c, x):
			res.breach("call %s through %s looks complete with %d bytes that none of its runs generated: %s",
				c.ID, c.Router, c.Bytes, places(x.byCall[c.ID]))
		}
	}
	return res
}

// own tells whether a run of the call, or of its key, generated the answer.
func own(c Call, x index) bool {
	runs := x.byCall[c.ID]
	if c.Key != "" {
		runs = append(slices.Clone(runs), x.byKey[c.Key]...)
	}
	return slices.ContainsFunc(runs, func(r Run) bool {
		if c.Status >= http.StatusInternalServerError {
			return r.State == RunFailed
		}
		return r.State == RunDone && r.Bytes == c.Bytes && r.SHA256 == c.SHA256 &&
			(r.CallID != c.ID || r.RequestID == c.RequestID)
	})
}

// checkEndsOnce looks for calls over their bound, callers that were left
// without a typed outcome and idempotent operations that never completed.
func checkEndsOnce(h *History, b Bounds) Result {
	res := Result{Promise: EndsOnce}
	seen := map[string]bool{}
	for _, c := range h.Calls {
		res.Checked++
		if seen[c.ID] {
			res.breach("call %s ended twice", c.ID)
		}
		seen[c.ID] = true
		if took := c.Ended.Sub(c.Sent); c.Ending == TimedOut || took > b.Call {
			res.breach("call %s through %s had no end after %s", c.ID, c.Router, took)
		}
	}
	for _, o := range h.Operations {
		if !o.NonIdempotent && o.Result != outcome.Completed {
			res.breach("idempotent operation %s of %s was lost after %d calls: %q", o.ID, o.Team, o.Calls, o.Result)
		}
	}
	return res
}

// checkPlannedStops looks at the calls during which no failure was made:
// whatever was stopped as planned, each completes, or is refused as not-run.
// A call that found its router gone, and did not run, counts as refused; so
// does one that met another call with its key under way.
func checkPlannedStops(h *History, x index, b Bounds) Result {
	res := Result{Promise: PlannedStop}
	for _, c := range h.Calls {
		if unplanned(h, c, b) {
			continue
		}
		res.Checked++
		switch {
		case c.Ending == Answered && (c.Outcome == outcome.Completed || c.Outcome == outcome.NotRun):
		case c.Ending != Answered && c.Bytes == 0 && len(x.byCall[c.ID]) == 0:
		case c.Reason == string(outcome.ReasonDuplicate) && x.metAnother(c):
		default:
			res.breach("call %s through %s ended %s %s %s after %s with no failure made: %s",
				c.ID, c.Router, c.Ending, c.Outcome, c.Reason, c.Ended.Sub(c.Sent), c.Error)
		}
	}
	return res
}

// metAnother tells whether another call with the key of c was under way at the
// same time, and c itself did not run.
func (x index) metAnother(c Call) bool {
	return len(x.byCall[c.ID]) == 0 && slices.ContainsFunc(x.withKey[c.Key], func(other Call) bool {
		return other.ID != c.ID && other.Sent.Before(c.Ended) && other.Ended.After(c.Sent)
	})
}

func unplanned(h *History, c Call, b Bounds) bool {
	return slices.ContainsFunc(h.Faults, func(f Fault) bool {
		return !f.Planned && f.within(c.Sent, c.Ended, b.Settle)
	})
}
