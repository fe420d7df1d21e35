package history

import (
	"fmt"
	"time"
)

// Promise names one of the promises that are checked.
type Promise string

// The promises.
const (
	AtMostOnce    Promise = "a non-idempotent request runs at most once"
	NotRun        Promise = "a request refused as not-run was not run"
	WholeAnswer   Promise = "an answer that looks complete is the whole answer to its own request"
	EndsOnce      Promise = "each request ends within its bound and none is lost"
	LeavingNoWork Promise = "a leaving backend server gets no new work"
	PlannedStop   Promise = "a planned stop cuts off no request"
	NoStarvation  Promise = "no team starves"
	NeverReverts  Promise = "an accepted configuration is in force within seconds and never reverts"
	LinearChanges Promise = "accepted configurations form one linear history"
)

// Bounds are the time bounds of the checks. They are generous, so that
// verdicts repeat on a busy machine.
type Bounds struct {
	// Call bounds one call.
	Call time.Duration
	// Leaving is how long after a leave a start is still allowed.
	Leaving time.Duration
	// Settle is how long after a fault its effects may show.
	Settle time.Duration
	// Starve is how long a team with open work may see no completion after
	// the last fault.
	Starve time.Duration
	// InForce is how long an accepted configuration may take.
	InForce time.Duration
}

// DefaultBounds returns the bounds of the proving tool.
func DefaultBounds() Bounds {
	return Bounds{
		Call:    45 * time.Second,
		Leaving: 3 * time.Second,
		Settle:  3 * time.Second,
		Starve:  10 * time.Second,
		InForce: 3 * time.Second,
	}
}

// Result is the verdict on one promise.
type Result struct {
	Promise Promise
	// Checked is how many calls, changes or the like the promise covered.
	Checked int
	// Violations tells each breach in a sentence.
	Violations []string
}

func (r *Result) breach(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Check runs all checks.
func Check(h *History, b Bounds) []Result {
	x := newIndex(h)
	return []Result{
		checkAtMostOnce(h, x),
		checkNotRun(h, x),
		checkWholeAnswer(h, x),
		checkEndsOnce(h, b),
		checkLeaving(h, b),
		checkPlannedStops(h, x, b),
		checkStarvation(h, b),
		checkNeverReverts(h, b),
		checkLinearChanges(h),
	}
}

// index finds runs and calls by their names.
type index struct {
	calls   map[string]Call
	withKey map[string][]Call
	byCall  map[string][]Run
	byKey   map[string][]Run
}

func newIndex(h *History) index {
	x := index{
		calls: map[string]Call{}, withKey: map[string][]Call{},
		byCall: map[string][]Run{}, byKey: map[string][]Run{},
	}
	for _, c := range h.Calls {
		x.calls[c.ID] = c
		if c.Key != "" {
			x.withKey[c.Key] = append(x.withKey[c.Key], c)
		}
	}
	for _, r := range h.Runs {
		x.byCall[r.CallID] = append(x.byCall[r.CallID], r)
		if r.Key != "" {
			x.byKey[r.Key] = append(x.byKey[r.Key], r)
		}
	}
	return x
}

// within tells whether the fault's time, with its after-effects, touches the
// span.
func (f Fault) within(from, until time.Time, settle time.Duration) bool {
	return f.From.Before(until) && f.Until.Add(settle).After(from)
}
