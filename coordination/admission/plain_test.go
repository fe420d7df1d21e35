package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// plain returns a state with n servers of a plain service.
func plain(n int) *State {
	s := New(DefaultConfig())
	for i := range n {
		s.Add(fmt.Sprint("i-", i), 0, "app", "", 6)
	}
	return s
}

// Guards against a server that refuses every request at once, such as one whose
// slots are taken by hanging requests: its load looks least, so that it got all
// requests while the others idled (2,459 refusals in a soak test with seed 5). It
// now gets one request per second at most.
func TestRefusingServerIsPaused(t *testing.T) {
	s, now, refused := plain(2), epoch, 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		d := s.Place(now, Request{Service: "app"})
		qt.Assert(t, d.Verdict, qt.Equals, Send)
		if d.Server == "i-0" {
			refused++
			s.Refused(now, d.Run)
			s.Ended(now, d.Run, health.NoResult)
			continue
		}
		s.FirstByte(now, d.Run)
		s.Ended(now, d.Run, health.Success)
	}
	qt.Check(t, refused > 0 && refused < 20, qt.IsTrue, qt.Commentf("%d of 1000 requests went to the refusing server", refused))
}

// A server fails all requests for ten seconds, while half of the requests may run
// only once and half are repeatable. A failed probe costs a repeatable request one
// repetition, but any other request its answer. So only repeatable requests probe,
// and the others do only where no repeatable ones come.
func TestProbesAreRepeatableRequests(t *testing.T) {
	fail := func(repeatable ...bool) (lost int) {
		s, now := plain(2), epoch
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			req := Request{Service: "app", Repeatable: repeatable[i%len(repeatable)]}
			d := s.Place(now, req)
			qt.Assert(t, d.Verdict, qt.Equals, Send)
			result := health.Success
			if d.Server == "i-0" {
				result = health.Failure
				if !req.Repeatable && s.servers["i-0"].health.Ejected() {
					lost++
				}
			}
			s.FirstByte(now, d.Run)
			s.Ended(now, d.Run, result)
		}
		return lost
	}
	qt.Check(t, fail(true, false), qt.Equals, 0)
	qt.Check(t, fail(false), qt.Not(qt.Equals), 0)
}

// A server that refused once because it was briefly full gets requests again soon.
// If all servers refuse, requests still go to the one whose pause ends first.
func TestAcceptedRequestResetsRefusals(t *testing.T) {
	s, now := plain(1), epoch
	refuse := func() {
		d := s.Place(now, Request{Service: "app"})
		qt.Assert(t, d.Verdict, qt.Equals, Send)
		s.Refused(now, d.Run)
		s.Ended(now, d.Run, health.NoResult)
	}
	for range 8 {
		refuse()
	}
	s.Add("i-9", 0, "app", "", 6)
	qt.Check(t, s.Place(now, Request{Service: "app"}).Server, qt.Equals, "i-9")
	now = now.Add(2 * time.Second)
	d := s.Place(now, Request{Service: "app"})
	qt.Assert(t, d.Server, qt.Equals, "i-0")
	s.FirstByte(now, d.Run)
	s.Ended(now, d.Run, health.Success)
	// It accepted work: the next refusal counts as a first one.
	refuse()
	now = now.Add(60 * time.Millisecond)
	qt.Check(t, s.Place(now, Request{Service: "app"}).Server, qt.Equals, "i-0")
}

func TestNoServerIfAllAreAvoided(t *testing.T) {
	s := engines(1)
	req := prompt(100)
	req.Avoid = []string{"i-0"}
	d := s.Place(epoch, req)
	qt.Check(t, d.Verdict, qt.Equals, NoServer)
	qt.Check(t, d.RetryAfter > 0, qt.IsTrue)
}

// Plain services have few slots: the server with the least load in relation to its
// slots is next, and the load that it reports counts while it is fresh.
func TestPlainServersShareByLoad(t *testing.T) {
	s := New(DefaultConfig())
	s.Add("a", 0, "app", "", 6)
	s.Add("b", 0, "app", "", 12)
	count := map[string]int{}
	for range 18 {
		count[s.Place(epoch, Request{Service: "app"}).Server]++
	}
	qt.Check(t, count, qt.DeepEquals, map[string]int{"a": 6, "b": 12})
	d := s.Place(epoch, Request{Service: "app"})
	s.Reported(epoch, d.Run, Load{Running: 6, Waiting: 20, Slots: 6})
	qt.Check(t, s.Place(epoch, Request{Service: "app"}).Server, qt.Not(qt.Equals), d.Server)
}
