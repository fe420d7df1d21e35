package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
)

// anyProcess trusts every server.
func anyProcess(string) bool { return true }

// releaseFleet returns engines of which the first two are of version v1, as late in a release, and
// the others of v2. Each has a queue of the given length.
func releaseFleet(engines int, queue time.Duration) *State {
	s := New(DefaultConfig())
	s.SetService("app", Traits{Engine: true, Objective: 500 * time.Millisecond})
	for i := range engines {
		id, version := fmt.Sprintf("i-%d", i), roster.Version("v2")
		if i < 2 {
			version = "v1"
		}
		s.Add(id, 0, "app", "", 64)
		s.SetVersion(id, version)
		s.servers[id].pendingTokens = queue.Seconds() * 1000 * s.cfg.PrefillRate
	}
	return s
}

// A request that is bound goes to servers of its version and to no other, whatever they have to do,
// and only to processes that are known.
func TestABoundRequestGoesToItsVersionOnly(t *testing.T) {
	s := releaseFleet(9, 0)
	for range 20 {
		d := s.Place(epoch, Request{Service: "app", Prompt: 600, Bound: &Bound{Version: "v1", Trusts: anyProcess}})
		qt.Assert(t, d.Verdict, qt.Equals, Send)
		qt.Check(t, s.servers[d.Server].version, qt.Equals, roster.Version("v1"))
		known := &Bound{Version: "v1", Trusts: func(identity string) bool { return identity == "i-1" }}
		d = s.Place(epoch, Request{Service: "app", Prompt: 600, Bound: known})
		qt.Check(t, d.Server, qt.Equals, "i-1")
	}
	d := s.Place(epoch, Request{Service: "app", Bound: &Bound{Version: "v3", Trusts: anyProcess}})
	qt.Check(t, d.Verdict, qt.Equals, NoServer)
	d = s.Place(epoch, Request{Service: "app", Bound: &Bound{Version: "v1", Trusts: func(string) bool { return false }}})
	qt.Check(t, d.Verdict, qt.Equals, NoServer)
	qt.Check(t, d.RetryAfter > 0, qt.IsTrue)
	qt.Check(t, s.HasOther(epoch, Request{Service: "app", Avoid: []string{"i-0", "i-1"}, Bound: &Bound{Version: "v1"}}), qt.IsFalse)
	qt.Check(t, s.HasOther(epoch, Request{Service: "app", Avoid: []string{"i-0", "i-1"}}), qt.IsTrue)
}

// Streams come back when a router of a fleet is killed late in a release, while the two engines that
// are left of their version are as busy as all others: all find a place, where each new stream is
// refused. Without a limit of their own none did.
func TestResumedStreamsFindAPlaceAtBusyEngines(t *testing.T) {
	s := releaseFleet(9, 300*time.Millisecond)
	resumed, fresh := 0, 0
	for n := range 16 {
		now := epoch.Add(time.Duration(n) * 50 * time.Millisecond)
		bound := &Bound{Version: "v1", Resumes: true, Trusts: anyProcess}
		if s.Place(now, Request{Service: "app", Team: "team", Prompt: 300, Objective: 500 * time.Millisecond, Bound: bound}).Verdict == Send {
			resumed++
		}
		if s.Place(now, Request{Service: "app", Team: "team", Prompt: 300, Objective: 500 * time.Millisecond}).Verdict == Send {
			fresh++
		}
	}
	qt.Check(t, resumed, qt.Equals, 16)
	qt.Check(t, fresh, qt.Equals, 0)
}

// Guards against a refusal that does not say why servers of the version were left out.
func TestADecisionSaysWhyServersWereLeftOut(t *testing.T) {
	s := releaseFleet(9, 0)
	bound := &Bound{Version: "v1", Trusts: func(identity string) bool { return identity == "i-1" }}
	req := Request{Service: "app", Prompt: 600, Avoid: []string{"i-1"}, Bound: bound}
	want := Fitness{Known: 2, Avoided: 1, Untrusted: 1}
	qt.Check(t, s.Survey(epoch, req), qt.Equals, want)
	d := s.Place(epoch, req)
	qt.Check(t, d.Verdict, qt.Equals, NoServer)
	qt.Check(t, d.Fitness, qt.Equals, want)
	qt.Check(t, d.Fitness.Usable(), qt.Equals, 0)
	s.servers["i-0"].health.Eject(epoch)
	d = s.Place(epoch, Request{Service: "app", Prompt: 600, Bound: bound})
	qt.Check(t, d.Server, qt.Equals, "i-1")
	qt.Check(t, d.Fitness, qt.Equals, Fitness{Known: 2, Ejected: 1})
	qt.Check(t, d.Fitness.Usable(), qt.Equals, 1)
}
