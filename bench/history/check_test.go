package history

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time of the hand-made histories.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// good returns a history without a breach: a completed enquiry, a completed
// pledge, a refused pledge and two accepted changes.
func good() *History {
	h := &History{}
	for _, r := range []any{
		Operation{ID: "o1", Team: "small", Started: at(0), Ended: at(1), Result: outcome.Completed, Calls: 1},
		Call{ID: "c1", Operation: "o1", Router: "r1", Team: "small", Sent: at(0), Ended: at(1), Ending: Answered,
			Status: 200, Outcome: outcome.Completed, RequestID: "q1", Bytes: 3, SHA256: "aaa"},
		Run{Server: "s1", CallID: "c1", RequestID: "q1", Started: at(0.1), State: RunDone, Bytes: 3, SHA256: "aaa"},
		Operation{ID: "o2", Team: "large", NonIdempotent: true, Key: "k2", Started: at(0), Ended: at(2), Result: outcome.Completed, Calls: 2},
		Call{ID: "c2", Operation: "o2", Router: "r1", Team: "large", NonIdempotent: true, Key: "k2", Sent: at(0), Ended: at(1),
			Ending: Answered, Status: 503, Outcome: outcome.NotRun, Problem: true, RequestID: "q2"},
		Call{ID: "c3", Operation: "o2", Router: "r2", Team: "large", NonIdempotent: true, Key: "k2", Sent: at(1), Ended: at(2),
			Ending: Answered, Status: 200, Outcome: outcome.Completed, RequestID: "q3", Bytes: 2, SHA256: "bb"},
		Run{Server: "s2", CallID: "c3", RequestID: "q3", Key: "k2", Started: at(1.1), State: RunDone, Bytes: 2, SHA256: "bb"},
		Leave{Server: "s1", How: "list", From: at(5), Until: at(20)},
		Change{Operator: "a", Base: 1, Sent: at(1), Ended: at(2), Result: ChangeAccepted, Revision: 2},
		Change{Operator: "b", Base: 1, Sent: at(1), Ended: at(2), Result: ChangeStale},
		Change{Operator: "b", Base: 2, Sent: at(3), Ended: at(4), Result: ChangeUnknown},
		Change{Operator: "a", Base: 3, Sent: at(5), Ended: at(6), Result: ChangeAccepted, Revision: 4},
		InForce{Process: "r1", Start: 1, Revision: 1, At: at(0)},
		InForce{Process: "r1", Start: 1, Revision: 2, At: at(2.5)},
		InForce{Process: "r1", Start: 2, Revision: 4, At: at(6)},
	} {
		h.Add(r)
	}
	return h
}

// breached returns the promises that the history breaks.
func breached(h *History) []Promise {
	var out []Promise
	for _, r := range Check(h, DefaultBounds()) {
		if len(r.Violations) > 0 {
			out = append(out, r.Promise)
		}
	}
	return out
}

func TestGoodHistoryPasses(t *testing.T) {
	c := qt.New(t)
	for _, r := range Check(good(), DefaultBounds()) {
		c.Check(r.Violations, qt.HasLen, 0, qt.Commentf("%s", r.Promise))
		c.Check(r.Checked > 0, qt.IsTrue, qt.Commentf("%s", r.Promise))
	}
}

// TestBadHistoriesFail breaks the good history in one way each time and names
// the promise that has to be found broken.
func TestBadHistoriesFail(t *testing.T) {
	for _, bad := range []struct {
		name  string
		spoil func(h *History)
		want  Promise
	}{
		{"a pledge ran twice", func(h *History) { h.Add(h.Runs[1]) }, AtMostOnce},
		{"two calls with one key ran", func(h *History) {
			h.Add(Call{ID: "c4", Operation: "o2", NonIdempotent: true, Key: "k2", Sent: at(0), Ended: at(1), Ending: Cut})
			h.Add(Fault{Kind: "kill", Target: "r1", From: at(0), Until: at(1)})
			h.Add(Run{Server: "s3", CallID: "c4", RequestID: "q4", Key: "k2", Started: at(0.5), State: RunOpen})
		}, AtMostOnce},
		{"a run that nobody sent", func(h *History) { h.Runs = append(h.Runs, Run{CallID: "c9", Server: "s1"}) }, AtMostOnce},
		{"a refused call ran", func(h *History) {
			h.Add(Run{Server: "s1", CallID: "c2", RequestID: "q2", Started: at(0.5), State: RunDone})
		}, NotRun},
		{"an unsent call ran", func(h *History) {
			h.Calls[1].Ending, h.Calls[1].Outcome = Unsent, ""
			h.Add(Run{Server: "s1", CallID: "c2", RequestID: "q2", Started: at(0.5), State: RunDone})
		}, NotRun},
		{"a cut answer looks complete", func(h *History) { h.Calls[0].Bytes, h.Calls[0].SHA256 = 2, "aa" }, WholeAnswer},
		{"another request's answer", func(h *History) { h.Calls[0].Bytes, h.Calls[0].SHA256 = 2, "bb" }, WholeAnswer},
		{"the answer of a cancelled run", func(h *History) { h.Runs[0].State = RunCancelled }, WholeAnswer},
		{"an answer under another request id", func(h *History) { h.Calls[0].RequestID = "q7" }, WholeAnswer},
		{"an answer without outcome", func(h *History) { h.Calls[0].Outcome = "" }, WholeAnswer},
		{"a refusal without problem", func(h *History) { h.Calls[1].Status, h.Calls[1].Problem = 400, false }, WholeAnswer},
		{"no end", func(h *History) { h.Calls[0].Ending = TimedOut }, EndsOnce},
		{"a late end", func(h *History) { h.Calls[0].Ended = at(100) }, EndsOnce},
		{"an end twice", func(h *History) { h.Add(h.Calls[0]) }, EndsOnce},
		{"a lost enquiry", func(h *History) { h.Operations[0].Result = "" }, EndsOnce},
		{"a late start", func(h *History) { h.Runs[0].Started = at(8.5) }, LeavingNoWork},
		{"a cut without a failure", func(h *History) { h.Calls[0].Ending = Cut }, PlannedStop},
		{"unknown in a planned stop", func(h *History) {
			h.Add(Fault{Kind: "stop", Target: "r1", From: at(0), Until: at(1), Planned: true})
			h.Calls[2].Outcome, h.Calls[2].Status, h.Calls[2].Problem = outcome.Unknown, 502, true
		}, PlannedStop},
		{"a team waits", func(h *History) {
			h.Add(Fault{Kind: "kill", Target: "s1", From: at(0), Until: at(3)})
			h.Add(Operation{ID: "o5", Team: "small", Started: at(1), Ended: at(14), Result: outcome.Completed})
		}, NoStarvation},
		{"a revision went back", func(h *History) {
			h.Add(InForce{Process: "r1", Start: 2, Revision: 3, At: at(7)})
		}, NeverReverts},
		{"a restart went back", func(h *History) {
			h.Add(InForce{Process: "r1", Start: 3, Revision: 1, At: at(7)})
		}, NeverReverts},
		{"a change came too late", func(h *History) { h.InForce[2].At = at(9.5) }, NeverReverts},
		{"two changes from one revision", func(h *History) {
			h.Changes[1].Result, h.Changes[1].Revision = ChangeAccepted, 2
		}, LinearChanges},
		{"a lost change", func(h *History) {
			h.Add(Change{Operator: "c", Base: 4, Sent: at(7), Ended: at(8), Result: ChangeStale})
		}, LinearChanges},
	} {
		t.Run(bad.name, func(t *testing.T) {
			h := good()
			bad.spoil(h)
			qt.New(t).Assert(breached(h), qt.Contains, bad.want)
		})
	}
}

func TestFailuresExcuseOnlyWhatTheyTouch(t *testing.T) {
	c := qt.New(t)
	h := good()
	h.Calls[0].Ending = Cut
	h.Add(Fault{Kind: "kill", Target: "r1", From: at(0.5), Until: at(0.6)})
	c.Assert(breached(h), qt.HasLen, 0)
	h.Faults[0].From, h.Faults[0].Until = at(30), at(31)
	c.Assert(breached(h), qt.DeepEquals, []Promise{PlannedStop})
}

func TestDuplicateNeedsAnotherCallUnderWay(t *testing.T) {
	c := qt.New(t)
	h := good()
	h.Add(Call{ID: "c4", Operation: "o2", NonIdempotent: true, Key: "k2", Sent: at(1.2), Ended: at(1.3), Ending: Answered,
		Status: 409, Outcome: outcome.Unknown, Reason: string(outcome.ReasonDuplicate), Problem: true})
	c.Assert(breached(h), qt.HasLen, 0)
	h.Calls[3].Sent, h.Calls[3].Ended = at(2.2), at(2.3)
	c.Assert(breached(h), qt.DeepEquals, []Promise{PlannedStop})
}

func TestLeaveCountsFromWhenItCanBeKnown(t *testing.T) {
	c := qt.New(t)
	h := good()
	h.Runs[0].Started = at(9)
	h.Add(Fault{Kind: "kill", Target: "r1", From: at(4), Until: at(7)})
	c.Assert(breached(h), qt.DeepEquals, []Promise{LeavingNoWork})
	h.Faults[0].Target = platformTarget
	c.Assert(breached(h), qt.HasLen, 0)
	h.Runs[0].Started = at(10.5)
	c.Assert(breached(h), qt.DeepEquals, []Promise{LeavingNoWork})
}

func TestLastStart(t *testing.T) {
	c := qt.New(t)
	h := good()
	c.Assert(h.LastStart(h.Leaves[0]), qt.Equals, time.Duration(0))
	h.Runs[0].Started = at(6)
	c.Assert(h.LastStart(h.Leaves[0]), qt.Equals, time.Second)
}

func TestFileRoundTrip(t *testing.T) {
	c := qt.New(t)
	h := good()
	h.Add(Fault{Kind: "kill", Target: "r1", From: at(0.5), Until: at(0.6)})
	var file bytes.Buffer
	c.Assert(h.Write(&file), qt.IsNil)
	back, err := Read(&file)
	c.Assert(err, qt.IsNil)
	c.Assert(back.lines(), qt.DeepEquals, h.lines())
}
