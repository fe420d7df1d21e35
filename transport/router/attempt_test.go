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

// A decision that comes after the deadline, as in a router that was frozen,
// starts nothing. The router of this test has no way to a sidecar.
func TestLateDecisionStartsNothing(t *testing.T) {
	c := qt.New(t)
	late := &call{
		id:      "r",
		start:   &wire.RunStart{},
		request: dispatch.Request{ID: "r", Deadline: time.Now()},
	}
	late.core = late.newCore()
	o, again := (&Router{}).try(context.Background(), late, decision{send: &dispatch.Send{ID: "r", Sidecar: "s"}})
	c.Assert(again, qt.IsFalse)
	c.Assert(o.Kind, qt.Equals, outcome.NotRun)
	c.Assert(o.Reason, qt.Equals, outcome.ReasonDeadline)
}
