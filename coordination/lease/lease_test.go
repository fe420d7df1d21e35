package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/lease"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// acquiredState returns a state that acquired its lease at the epoch.
func acquiredState(c *qt.C) *lease.State {
	s := lease.New(lease.DefaultConfig())
	c.Assert(s.MayStart(epoch), qt.IsFalse)
	c.Assert(s.Step(epoch, lease.Ticked{}), qt.Equals, lease.Action(lease.Acquire{}))
	c.Assert(s.Step(epoch, lease.Acquired{Sent: epoch}), qt.IsNil)
	c.Assert(s.MayStart(epoch), qt.IsTrue)
	return s
}

// tickEverySecond ticks every second between two times and reports the event as
// the result of each call. It returns the number of calls.
func tickEverySecond(s *lease.State, from, to time.Duration, answer lease.Event) int {
	calls := 0
	for d := from; d <= to; d += time.Second {
		if s.Step(at(d), lease.Ticked{}) != nil {
			calls++
			s.Step(at(d), answer)
		}
	}
	return calls
}

func TestSuspensionPastLeaseStartsNoRun(t *testing.T) {
	c := qt.New(t)
	s := acquiredState(c)
	resumed := 80 * time.Second
	c.Assert(s.MayStart(at(resumed)), qt.IsFalse) // before any tick
	c.Assert(s.Step(at(resumed), lease.Ticked{}), qt.Equals, lease.Action(lease.Renew{Verify: true}))
	c.Assert(s.MayStart(at(resumed)), qt.IsFalse)
	s.Step(at(resumed), lease.Lapsed{})
	c.Assert(s.Step(at(resumed+time.Second), lease.Ticked{}), qt.Equals, lease.Action(lease.Acquire{Fresh: true}))
	c.Assert(s.MayStart(at(resumed+time.Second)), qt.IsFalse)
	s.Step(at(resumed+time.Second), lease.Conflict{})
	c.Assert(s.Phase(), qt.Equals, lease.Standby)
	c.Assert(s.MayStart(at(resumed+time.Second)), qt.IsFalse)
}

func TestSuspensionWithinLeaseContinues(t *testing.T) {
	s := acquiredState(qt.New(t))
	qt.Assert(t, s.MayStart(at(70*time.Second)), qt.IsTrue)
}

func TestRenewalAfterSuspensionResumesServing(t *testing.T) {
	c := qt.New(t)
	s := acquiredState(c)
	s.Step(at(100*time.Second), lease.Ticked{})
	s.Step(at(100*time.Second), lease.Renewed{Sent: at(100 * time.Second)})
	c.Assert(s.MayStart(at(100*time.Second)), qt.IsTrue)
}

// Guards against accepting a renewal after a suspension if it was sent before
// it: another process may have acquired the slot since.
func TestRenewalSentBeforeSuspensionIsDisregarded(t *testing.T) {
	c := qt.New(t)
	s := acquiredState(c)
	c.Assert(tickEverySecond(s, time.Second, 31*time.Second, nil), qt.Equals, 1) // renewal sent, no event
	s.Step(at(200*time.Second), lease.Ticked{})
	s.Step(at(200*time.Second), lease.Renewed{Sent: at(31 * time.Second)})
	c.Assert(s.MayStart(at(200*time.Second)), qt.IsFalse)
}

func TestPlatformOutageDoesNotStopServing(t *testing.T) {
	c := qt.New(t)
	s := acquiredState(c)
	calls := tickEverySecond(s, time.Second, 600*time.Second, lease.NoAnswer{})
	c.Assert(s.MayStart(at(600*time.Second)), qt.IsTrue)
	c.Assert(calls >= 40 && calls <= 80, qt.IsTrue, qt.Commentf("%d calls", calls))
	// The lease has expired meanwhile. It is acquired again as the same
	// incarnation, because the process was never suspended.
	tickEverySecond(s, 601*time.Second, 620*time.Second, lease.Lapsed{})
	c.Assert(s.Step(at(621*time.Second), lease.Ticked{}), qt.Equals, lease.Action(lease.Acquire{}))
}

func TestColdStartDuringPlatformOutageServes(t *testing.T) {
	c := qt.New(t)
	s := lease.New(lease.DefaultConfig())
	s.Step(epoch, lease.Ticked{})
	s.Step(epoch, lease.NoAnswer{})
	c.Assert(s.Phase(), qt.Equals, lease.Provisional)
	c.Assert(s.MayStart(epoch), qt.IsTrue)
}

func TestSecondSidecarIsStandby(t *testing.T) {
	c := qt.New(t)
	s := lease.New(lease.DefaultConfig())
	s.Step(epoch, lease.Ticked{})
	s.Step(epoch, lease.Conflict{})
	c.Assert(s.MayStart(epoch), qt.IsFalse)
	// An outage of the platform does not make a standby serve.
	tickEverySecond(s, time.Second, 300*time.Second, lease.NoAnswer{})
	c.Assert(s.MayStart(at(300*time.Second)), qt.IsFalse)
}

func TestRenewalsStayWithinWriteBudget(t *testing.T) {
	s := acquiredState(qt.New(t))
	calls := 0
	for d := time.Second; d <= 3000*time.Second; d += time.Second {
		if s.Step(at(d), lease.Ticked{}) != nil {
			calls++
			s.Step(at(d), lease.Renewed{Sent: at(d)})
		}
	}
	perSecond := 2200 * float64(calls) / 3000
	qt.Assert(t, perSecond < 100, qt.IsTrue, qt.Commentf("%.0f renewals a second", perSecond))
}
