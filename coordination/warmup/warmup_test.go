package warmup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// alone is the state of the only router, with one cold server.
func alone() (*State, *Server, time.Time) {
	now := time.Unix(1000, 0)
	s := New(modelConfig(0), "router")
	s.SetService(modelService, Service{Rate: 13, ColdFor: 3 * time.Second})
	s.SetRouters(map[string]uint64{"router": 1})
	s.SetRegistered(true)
	s.Entered(now, "i-1", modelService, time.Minute, 2)
	return s, s.Server("i-1"), now
}

// send sends as many requests as the router may now and returns the number.
func send(s *State, server *Server, now time.Time) (n int) {
	for wait, _ := s.Wait(now, server); wait == 0; wait, _ = s.Wait(now, server) {
		s.Take(now, server)
		n++
	}
	return n
}

// The bounds change while a server is cold: earlier sends stay counted.
func TestChangedBoundsCountEarlierSends(t *testing.T) {
	s, server, now := alone()
	qt.Check(t, send(s, server, now), qt.Equals, 24)
	wider := modelConfig(0)
	wider.Overrun = 2
	s.SetConfig(wider)
	qt.Check(t, send(s, server, now), qt.Equals, 7)
	s.SetConfig(modelConfig(0))
	qt.Check(t, send(s, server, now.Add(500*time.Millisecond)), qt.Equals, 0)
}

// A server stays presumed cold though its entry says nothing, or says that it is warm: the
// entry was written before.
func TestPresumedServerStaysColdThoughEntrySaysWarm(t *testing.T) {
	s, _, now := alone()
	s.Presume(now, "i-2", modelService, 3)
	s.Entered(now, "i-2", modelService, 0, 4)
	server := s.Server("i-2")
	_, bounded := s.Wait(now.Add(2900*time.Millisecond), server)
	qt.Check(t, bounded, qt.IsTrue)
	_, bounded = s.Wait(now.Add(3*time.Second), server)
	qt.Check(t, bounded, qt.IsFalse)
}

// Without a rate of the service or without bounds nothing is bounded.
func TestNothingIsBoundedWithoutRate(t *testing.T) {
	s, server, now := alone()
	s.SetService(modelService, Service{})
	_, bounded := s.Wait(now, server)
	qt.Check(t, bounded, qt.IsFalse)
	s, server, now = alone()
	s.SetConfig(DefaultConfig())
	_, bounded = s.Wait(now, server)
	qt.Check(t, bounded, qt.IsFalse)
}

// Guards against a cold server that gets more than it can handle. One router registered
// between the return of the server's data centre and the update of the server's entry: the
// routers that presumed the server cold divided its rate without that router, and that
// router included itself.
func TestRouterRegisteredBeforeColdEntryIsCountedByAll(t *testing.T) {
	now := time.Unix(1000, 0)
	registered := map[string]uint64{"router-0": 1, "router-1": 2, "router-2": 101}
	total := 0
	for i, id := range []string{"router-0", "router-1", "router-2"} {
		s := New(modelConfig(0), id)
		s.SetService(modelService, Service{Rate: 13, ColdFor: 10 * time.Second})
		s.SetRouters(registered)
		s.SetRegistered(true)
		if i < 2 {
			s.Presume(now, "i-1", modelService, 100)
		}
		s.Entered(now.Add(600*time.Millisecond), "i-1", modelService, 9*time.Second, 103)
		s.Entered(now.Add(1200*time.Millisecond), "i-1", modelService, 8400*time.Millisecond, 107)
		total += send(s, s.Server("i-1"), now.Add(4*time.Second))
	}
	qt.Check(t, total, qt.Equals, int(allowedRate))
}
