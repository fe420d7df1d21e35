package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/lease"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// held returns a state that acquired its lease at the epoch.
func held(c *qt.C) *lease.State {
	s := lease.New(lease.DefaultConfig())
	c.Assert(s.MayStart(epoch), qt.IsFalse)
	c.Assert(s.Step(epoch, lease.Ticked{}), qt.Equals, lease.Action(lease.Acquire{}))
	c.Assert(s.Step(epoch, lease.Acquired{Sent: epoch}), qt.IsNil)
	c.Assert(s.MayStart(epoch), qt.IsTrue)
	return s
}

// awake ticks every second from a time to another and answers each call with
// the event. It returns the number of calls.
func awake(s *lease.State, from, to time.Duration, answer lease.Event) int {
	calls := 0
	for d := from; d <= to; d += time.Second {
		if s.Step(at(d), lease.Ticked{}) != nil {
			calls++
			s.Step(at(d), answer)
		}
	}
	return calls
}

func TestFrozenLongerThanTheLeaseStartsNothing(t *testing.T) {
	c := qt.New(t)
	s := held(c)
	wake := 80 * time.Second
	c.Assert(s.MayStart(at(wake)), qt.IsFalse) // before any tick
	c.Assert(s.Step(at(wake), lease.Ticked{}), qt.Equals, lease.Action(lease.Renew{Verify: true}))
	c.Assert(s.MayStart(at(wake)), qt.IsFalse)
	s.Step(at(wake), lease.Lapsed{})
	c.Assert(s.Step(at(wake+time.Second), lease.Ticked{}), qt.Equals, lease.Action(lease.Acquire{Fresh: true}))
	c.Assert(s.MayStart(at(wake+time.Second)), qt.IsFalse)
	s.Step(at(wake+time.Second), lease.Conflict{})
	c.Assert(s.Phase(), qt.Equals, lease.Standby)
	c.Assert(s.MayStart(at(wake+time.Second)), qt.IsFalse)
}

func TestFrozenWithinTheLeaseGoesOn(t *testing.T) {
	s := held(qt.New(t))
	qt.Assert(t, s.MayStart(at(70*time.Second)), qt.IsTrue)
}

func TestRenewalAfterTheFreezeServesAgain(t *testing.T) {
	c := qt.New(t)
	s := held(c)
	s.Step(at(100*time.Second), lease.Ticked{})
	s.Step(at(100*time.Second), lease.Renewed{Sent: at(100 * time.Second)})
	c.Assert(s.MayStart(at(100*time.Second)), qt.IsTrue)
}

// An answer that was asked for before the freeze proves nothing after it.
func TestOldAnswerProvesNothing(t *testing.T) {
	c := qt.New(t)
	s := held(c)
	c.Assert(awake(s, time.Second, 31*time.Second, nil), qt.Equals, 1) // renewal sent, no event
	s.Step(at(200*time.Second), lease.Ticked{})
	s.Step(at(200*time.Second), lease.Renewed{Sent: at(31 * time.Second)})
	c.Assert(s.MayStart(at(200*time.Second)), qt.IsFalse)
}

func TestPlatformOutageDoesNotStopServing(t *testing.T) {
	c := qt.New(t)
	s := held(c)
	calls := awake(s, time.Second, 600*time.Second, lease.NoAnswer{})
	c.Assert(s.MayStart(at(600*time.Second)), qt.IsTrue)
	c.Assert(calls >= 40 && calls <= 80, qt.IsTrue, qt.Commentf("%d calls", calls))
	// The lease has lapsed meanwhile: it is taken again, as the same
	// incarnation, since the process was awake all the time.
	awake(s, 601*time.Second, 620*time.Second, lease.Lapsed{})
	c.Assert(s.Step(at(621*time.Second), lease.Ticked{}), qt.Equals, lease.Action(lease.Acquire{}))
}

func TestColdStartWithoutThePlatformServes(t *testing.T) {
	c := qt.New(t)
	s := lease.New(lease.DefaultConfig())
	s.Step(epoch, lease.Ticked{})
	s.Step(epoch, lease.NoAnswer{})
	c.Assert(s.Phase(), qt.Equals, lease.Provisional)
	c.Assert(s.MayStart(epoch), qt.IsTrue)
}

func TestSecondSidecarStandsBy(t *testing.T) {
	c := qt.New(t)
	s := lease.New(lease.DefaultConfig())
	s.Step(epoch, lease.Ticked{})
	s.Step(epoch, lease.Conflict{})
	c.Assert(s.MayStart(epoch), qt.IsFalse)
	// While it stands by, an outage does not make it serve.
	awake(s, time.Second, 300*time.Second, lease.NoAnswer{})
	c.Assert(s.MayStart(at(300*time.Second)), qt.IsFalse)
}

func TestRenewalsStayWithinTheWriteBudget(t *testing.T) {
	s := held(qt.New(t))
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
