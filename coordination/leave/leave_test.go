package leave_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/leave"
)

var epoch = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return epoch.Add(d) }

func TestPhaseSequence(t *testing.T) {
	c := qt.New(t)
	cfg := leave.DefaultConfig()
	cfg.Linger = 2 * time.Second
	s := leave.New(cfg)
	c.Assert(s.Step(epoch, leave.Ticked{}), qt.Equals, leave.Serving)
	c.Assert(s.Step(epoch, leave.StopRequested{}), qt.Equals, leave.Lingering)
	c.Assert(s.Step(after(time.Second), leave.Ticked{}), qt.Equals, leave.Lingering)
	c.Assert(s.Step(after(2*time.Second), leave.Ticked{InFlight: 1}), qt.Equals, leave.Refusing)
	c.Assert(s.Step(after(29*time.Second), leave.Ticked{InFlight: 1}), qt.Equals, leave.Refusing)
	c.Assert(s.Step(after(29*time.Second), leave.Ticked{}), qt.Equals, leave.Stopped)
}

func TestRefusesForMinimumTimeWithoutRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	s := leave.New(leave.DefaultConfig())
	c.Assert(s.Step(epoch, leave.StopRequested{}), qt.Equals, leave.Refusing)
	c.Assert(s.Step(after(500*time.Millisecond), leave.Ticked{}), qt.Equals, leave.Refusing)
	c.Assert(s.Step(after(time.Second), leave.Ticked{}), qt.Equals, leave.Stopped)
}

func TestBoundAndSecondRequestEndRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	for name, ev := range map[string]leave.Event{"bound": leave.Ticked{InFlight: 1}, "again": leave.StopRequestedAgain{}} {
		s := leave.New(leave.DefaultConfig())
		s.Step(epoch, leave.StopRequested{})
		at := 30 * time.Second
		if name == "again" {
			at = time.Second
		}
		c.Assert(s.Step(after(at), ev), qt.Equals, leave.Ending, qt.Commentf(name))
		c.Assert(s.Step(after(at), leave.Ticked{InFlight: 1}), qt.Equals, leave.Ending)
		c.Assert(s.Step(after(at+time.Second), leave.Ticked{InFlight: 1}), qt.Equals, leave.Stopped)
	}
}
