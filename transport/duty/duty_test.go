package duty_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/leave"
	"goldcrestport/transport/duty"
)

func TestPostReturnsWhenContextEnds(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ring := make(chan int, 1)
	duty.Post(ctx, ring, 1)
	cancel()
	duty.Post(ctx, ring, 2)
	c.Assert(<-ring, qt.Equals, 1)
	c.Assert(ring, qt.HasLen, 0)
}

// phasesOf returns the phases that a process with one request in flight entered, and how long
// that took.
func phasesOf(abort <-chan struct{}) (phases []leave.Phase, took time.Duration) {
	began := time.Now()
	inFlight := func() int64 { return 1 }
	duty.Leave(leave.DefaultConfig(), inFlight, abort, func(p leave.Phase) { phases = append(phases, p) })
	return phases, time.Since(began)
}

func TestLeaveEntersEachPhaseOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		phases, took := phasesOf(make(chan struct{}))
		c.Check(phases, qt.DeepEquals, []leave.Phase{leave.Refusing, leave.Ending, leave.Stopped})
		c.Check(took >= leave.DefaultConfig().Bound, qt.IsTrue)
	})
}

func TestSecondStopSignalEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		abort := make(chan struct{})
		close(abort)
		phases, took := phasesOf(abort)
		c.Check(phases, qt.DeepEquals, []leave.Phase{leave.Refusing, leave.Ending, leave.Stopped})
		c.Check(took < leave.DefaultConfig().Bound, qt.IsTrue)
	})
}
