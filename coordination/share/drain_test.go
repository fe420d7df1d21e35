package share_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/share"
)

// An attempt that waits for a slot is declined when the sidecar is drained or shuts down,
// and so is one that is offered later.
func TestDrainingDeclinesWaitingAttempts(t *testing.T) {
	for name, event := range map[string]share.Event{"drained": share.Drained{On: true}, "left": share.ShutdownStarted{}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cfg := share.DefaultConfig()
			cfg.Slots, cfg.LookAhead = 1, 1
			s := share.New(cfg)
			now := time.Unix(1_000_000, 0)
			var pulls []uint64
			step := func(ev share.Event) (out []share.Action) {
				for _, a := range s.Step(now, ev) {
					if p, ok := a.(share.Pull); ok {
						pulls = append(pulls, p.ID)
					}
					out = append(out, a)
				}
				return out
			}
			step(share.Interest{Router: "r", Team: "t", Count: 4})
			c.Assert(pulls, qt.HasLen, 2)
			c.Assert(step(share.Offered{Attempt: 1, Pull: pulls[0], Router: "r", Team: "t"}), qt.Contains, share.Action(share.Start{Attempt: 1}))
			step(share.Offered{Attempt: 2, Pull: pulls[1], Router: "r", Team: "t"})
			c.Assert(step(event), qt.Contains, share.Action(share.Decline{Attempt: 2}))
			c.Assert(step(share.Offered{Attempt: 3, Router: "r", Team: "t"}), qt.Contains, share.Action(share.Decline{Attempt: 3}))
			for _, a := range step(share.Ended{Attempt: 1}) {
				_, started := a.(share.Start)
				c.Assert(started, qt.IsFalse)
			}
		})
	}
}
