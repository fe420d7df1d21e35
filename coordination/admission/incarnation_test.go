package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// Pattern: an engine crashes and starts again under its id, with an empty memory
// and nothing to read, while other routers still tell of its former work. Ground:
// whatever was true of the process that ended is false of the new one; believing
// it would send the documents of a whole fleet to an engine that has none, or
// nothing at all to one that is idle.
func TestNothingOfAnEarlierIncarnationIsBelieved(t *testing.T) {
	s := New(DefaultConfig())
	s.SetService("llm", Traits{Engine: true, FetchRate: 2500})
	s.Add("a", 100, "llm", "", 64)
	before := s.servers["a"]
	document := Part{ID: 7, Tokens: 5000}
	d := s.Place(epoch, Request{Service: "llm", Prompt: 9000, Output: 100, Shared: []Part{document}})
	qt.Assert(t, d.Verdict, qt.Equals, Send)
	peers := Digest{All: true, Servers: map[ServerID]Use{before.number: {Unread: 40000, Runs: 20}}, Holdings: []Holding{{Server: before.number, Part: 7}}}
	s.Told(epoch, "peer", peers)
	before.pace.observe(epoch, time.Second, 4*time.Second)
	before.health.Eject(epoch)
	s.Refused(epoch, d.Run)
	s.Reported(epoch, d.Run, Load{Running: 60, Waiting: 9, Slots: 64})

	s.Add("a", 200, "llm", "", 32)
	now := s.servers["a"]
	check := func() {
		t.Helper()
		qt.Check(t, s.load(now), qt.Equals, load{})
		qt.Check(t, now.holds(epoch, document.ID, s.cfg.BeliefTime), qt.IsFalse)
		qt.Check(t, now.pace.factor(epoch), qt.Equals, 1.0)
		qt.Check(t, now.health.Ejected(), qt.IsFalse)
		qt.Check(t, now.refusedUntil.IsZero(), qt.IsTrue)
		qt.Check(t, now.load, qt.Equals, Load{})
		qt.Check(t, now.slots, qt.Equals, 32)
		qt.Check(t, s.pools["llm"].servers, qt.HasLen, 1)
	}
	check()
	// What comes late of the earlier one changes nothing, in whatever order.
	s.Told(epoch, "peer", peers)
	s.Reported(epoch, d.Run, Load{Running: 60, Waiting: 9, Slots: 64})
	s.FirstByte(epoch, d.Run)
	s.Ended(epoch, d.Run, health.Failure)
	s.Add("a", 100, "llm", "", 64)
	check()
	// The order of servers for a part stays: documents go where they went.
	qt.Check(t, now.rank(document.ID), qt.Equals, before.rank(document.ID))
	// Others are told of the new one only.
	s.Place(epoch, Request{Service: "llm", Prompt: 100, Output: 10})
	told := s.Digest(epoch, true, false).Servers
	_, named := told[now.number]
	qt.Check(t, named, qt.IsTrue)
	_, named = told[before.number]
	qt.Check(t, named, qt.IsFalse)
}

// Servers that do not say when they began have one number in all versions of the
// product, so that a fleet of two versions counts them alike.
func TestAServerWithoutIncarnationKeepsItsNumber(t *testing.T) {
	s := New(DefaultConfig())
	s.Add("i-7", 0, "llm", "", 64)
	qt.Check(t, s.servers["i-7"].number, qt.Equals, ServerID(s.servers["i-7"].seed))
}
