package router

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// Guards against starting an attempt after the request's deadline: a router
// process that was frozen resumes with a stale decision. The router of this test
// cannot reach a sidecar.
func TestLateDecisionStartsNothing(t *testing.T) {
	c := qt.New(t)
	late := &call{
		id:      "r",
		start:   &wire.RunStart{},
		request: dispatch.Request{ID: "r", Deadline: time.Now()},
	}
	late.core = late.newCore()
	o, again := (&Router{}).runAttempt(context.Background(), late, decision{send: &dispatch.Send{ID: "r", Sidecar: "s"}})
	c.Assert(again, qt.IsFalse)
	c.Assert(o.Kind, qt.Equals, outcome.NotRun)
	c.Assert(o.Reason, qt.Equals, outcome.ReasonDeadline)
}
