package share_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/share"
)

// Without slots, as while the backend server fails, the sidecar neither pulls, accepts nor
// queues work, and does not report that it is draining.
func TestNoSlotsAcceptNoWork(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	cfg := share.DefaultConfig()
	cfg.Slots = 1
	s := share.New(cfg)
	step := func(ev share.Event) []share.Action { return append([]share.Action(nil), s.Step(now, ev)...) }
	step(share.Interest{Router: "r", Team: "a", Count: 8})
	step(share.Offered{Attempt: 1, Pull: 1, Router: "r", Team: "a"})
	step(share.Offered{Attempt: 2, Pull: 2, Router: "r", Team: "a"})
	got := step(share.SlotsSet{Slots: 0})
	c.Assert(got, qt.Contains, share.Action(share.Decline{Attempt: 2}))
	c.Assert(s.Capacity().Draining, qt.IsFalse)
	c.Assert(s.Capacity().Free, qt.Equals, 0)
	for _, a := range append(step(share.Offered{Attempt: 3, Router: "r", Team: "a"}), step(share.Ended{Attempt: 1})...) {
		_, pull := a.(share.Pull)
		c.Assert(pull, qt.IsFalse)
	}
	pulls := 0
	for _, a := range step(share.SlotsSet{Slots: 1}) {
		if _, ok := a.(share.Pull); ok {
			pulls++
		}
	}
	c.Assert(pulls > 0, qt.IsTrue)
}
