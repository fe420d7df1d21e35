package prove

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/outcome"
)

// Pledges that run when their sidecar is killed end as unknown: neither as
// not-run, nor by a second run.
func TestKilledSidecarLeavesPledgesUnknown(t *testing.T) {
	const longMS = 3000
	c := qt.New(t)
	w := startWorld(c, testSize)
	i := newInjector(w)
	for _, s := range w.servers {
		c.Assert(w.fleet.Put(s.backend.Addr, faultsPath, backendFaults{StallMS: longMS}), qt.IsNil)
	}
	ops := pledges("pledge", 2*plainSlots)
	wait := background(w, ops...)
	waitStarted(c, w, int64(len(ops)))
	for _, s := range w.servers {
		i.force(fault{kind: "kill sidecar", target: s.name, begin: s.sidecar.Kill, heal: func() { w.start(s.sidecar) }})
	}
	i.wait()
	wait()
	time.Sleep(longMS * time.Millisecond)
	check(c, w)
	for _, op := range ops {
		seen := calls(w, op.id)
		c.Check(seen, qt.HasLen, 1)
		c.Check(seen[0].Ending, qt.Equals, history.Answered)
		c.Check(seen[0].Outcome, qt.Equals, outcome.Unknown)
	}
	c.Check(w.History.Runs, qt.HasLen, len(ops))
}
