package attempt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/attempt"
)

var epoch = time.Unix(1_000_000, 0)

func newState(idempotent bool) *attempt.State {
	return attempt.New(attempt.DefaultConfig(), attempt.Request{Idempotent: idempotent, Deadline: epoch.Add(time.Hour)})
}

func TestStepDecisions(t *testing.T) {
	sent := attempt.Lost{Sent: true}
	partlyDelivered := attempt.Lost{Sent: true, Delivered: true, Offset: 7}
	unknown := attempt.Finish{Kind: attempt.Unknown, Cause: attempt.LinkLost}
	tests := map[string]struct {
		idempotent bool
		events     []attempt.Event
		want       attempt.Action
	}{
		"not sent":                    {false, []attempt.Event{attempt.Lost{}}, attempt.Redispatch{}},
		"queries first":               {false, []attempt.Event{sent}, attempt.Settle{}},
		"blocked":                     {false, []attempt.Event{sent, attempt.Settled{Fate: attempt.NotRun}}, attempt.Redispatch{}},
		"running":                     {false, []attempt.Event{partlyDelivered, attempt.Settled{Fate: attempt.Running}}, attempt.Resume{}},
		"ended, kept":                 {false, []attempt.Event{partlyDelivered, attempt.Settled{Fate: attempt.Ended, AnswerKept: true}}, attempt.Resume{}},
		"ended, not kept":             {false, []attempt.Event{sent, attempt.Settled{Fate: attempt.Ended}}, attempt.Finish{Cause: attempt.AnswerLost}},
		"gone, non-idempotent":        {false, []attempt.Event{sent, attempt.Settled{}}, unknown},
		"gone, idempotent":            {true, []attempt.Event{sent, attempt.Settled{}}, attempt.Redispatch{}},
		"gone, idempotent, delivered": {true, []attempt.Event{partlyDelivered, attempt.Settled{}}, unknown},
		"not run though delivered":    {true, []attempt.Event{partlyDelivered, attempt.Settled{Fate: attempt.NotRun}}, unknown},
		"no reply queries again":      {false, []attempt.Event{sent, attempt.NoAnswer{}}, attempt.Settle{After: 100 * time.Millisecond}},
		"backend server not reached":  {false, []attempt.Event{attempt.BackendNotRun{}}, attempt.Redispatch{}},
		"backend server broke off":    {false, []attempt.Event{attempt.BackendUnknown{}}, attempt.Finish{Cause: attempt.BackendServer}},
		"broke off, idempotent":       {true, []attempt.Event{attempt.BackendUnknown{}}, attempt.Redispatch{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(test.idempotent)
			var got attempt.Action
			for _, ev := range test.events {
				got = s.Step(epoch, ev)
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestQueriesOfUnreachableSidecarEndAfterSettleFor(t *testing.T) {
	s := newState(false)
	s.Step(epoch, attempt.Lost{Sent: true})
	got := s.Step(epoch.Add(attempt.DefaultConfig().SettleFor), attempt.NoAnswer{})
	qt.Assert(t, got, qt.Equals, attempt.Action(attempt.Finish{Kind: attempt.Unknown, Cause: attempt.LinkLost}))
}

func drawEvent(t *rapid.T) attempt.Event {
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		delivered := rapid.Bool().Draw(t, "delivered")
		return attempt.Lost{Sent: delivered || rapid.Bool().Draw(t, "sent"), Delivered: delivered}
	case 1:
		return attempt.Settled{Fate: attempt.Fate(rapid.IntRange(0, 3).Draw(t, "fate")), AnswerKept: rapid.Bool().Draw(t, "kept")}
	case 2:
		return attempt.NoAnswer{}
	case 3:
		return attempt.BackendNotRun{}
	default:
		return attempt.BackendUnknown{}
	}
}

// provesNotRun reports whether the event proves that the attempt did not run.
func provesNotRun(ev attempt.Event) bool {
	switch ev := ev.(type) {
	case attempt.Lost:
		return !ev.Sent
	case attempt.Settled:
		return ev.Fate == attempt.NotRun
	case attempt.BackendNotRun:
		return true
	}
	return false
}

// For any sequence of events: a non-idempotent request is dispatched again only
// on proof that the attempt did not run, a request with a delivered byte never,
// and a request ends as not-run only if none of its attempts can have run.
func TestNonIdempotentRequestIsRedispatchedOnlyOnProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		s := newState(idempotent)
		now := epoch
		delivered, unproven := false, false
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			ev := drawEvent(t)
			if n == 0 {
				ev = attempt.Lost{Sent: true}
			}
			if l, ok := ev.(attempt.Lost); ok {
				delivered = delivered || l.Delivered
			}
			switch act := s.Step(now, ev).(type) {
			case attempt.Redispatch:
				if delivered {
					t.Fatalf("dispatched again after a delivery, on %#v", ev)
				}
				if !provesNotRun(ev) {
					unproven = true
					if !idempotent {
						t.Fatalf("non-idempotent request dispatched again on %#v", ev)
					}
				}
			case attempt.Finish:
				if act.Kind == attempt.WasNotRun && (unproven || !provesNotRun(ev)) {
					t.Fatalf("not-run without proof, on %#v", ev)
				}
				return
			}
		}
	})
}
