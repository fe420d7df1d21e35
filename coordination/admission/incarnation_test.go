package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// Guards against applying the state of an ended process to its successor with the
// same id, which has an empty cache and no queue, while other routers still report
// the earlier work: the documents of a whole fleet would go to an engine without
// them, or no requests at all to an idle one.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	s := New(DefaultConfig())
	s.SetService("llm", Traits{Engine: true, FetchRate: 2500})
	s.Add("a", 100, "llm", "", 64)
	before := s.servers["a"]
	document := Prefix{ID: 7, Tokens: 5000}
	d := s.Place(epoch, Request{Service: "llm", Prompt: 9000, Output: 100, SharedPrefixes: []Prefix{document}})
	qt.Assert(t, d.Verdict, qt.Equals, Send)
	peers := Digest{All: true, Servers: map[ServerID]InFlight{before.number: {Unread: 40000, Runs: 20}}, CachedPrefixes: []CachedPrefix{{Server: before.number, Prefix: 7}}}
	s.ReceiveDigest(epoch, "peer", peers)
	before.slowdown.observe(epoch, time.Second, 4*time.Second)
	before.health.Eject(epoch)
	s.Refused(epoch, d.Run)
	s.Reported(epoch, d.Run, Load{Running: 60, Waiting: 9, Slots: 64})

	s.Add("a", 200, "llm", "", 32)
	current := s.servers["a"]
	check := func() {
		t.Helper()
		qt.Check(t, s.queueAt(current), qt.Equals, queueLoad{})
		qt.Check(t, current.hasCached(epoch, document.ID, s.cfg.PrefixTTL), qt.IsFalse)
		qt.Check(t, current.slowdown.factor(epoch), qt.Equals, 1.0)
		qt.Check(t, current.health.Ejected(), qt.IsFalse)
		qt.Check(t, current.refusedUntil.IsZero(), qt.IsTrue)
		qt.Check(t, current.load, qt.Equals, Load{})
		qt.Check(t, current.slots, qt.Equals, 32)
		qt.Check(t, s.pools["llm"].servers, qt.HasLen, 1)
	}
	check()
	// Late messages on the earlier incarnation change nothing, in any order.
	s.ReceiveDigest(epoch, "peer", peers)
	s.Reported(epoch, d.Run, Load{Running: 60, Waiting: 9, Slots: 64})
	s.FirstByte(epoch, d.Run)
	s.Ended(epoch, d.Run, health.Failure)
	s.Add("a", 100, "llm", "", 64)
	check()
	// The ranks stay: documents go to the same server as before.
	qt.Check(t, current.rank(document.ID), qt.Equals, before.rank(document.ID))
	// Digests contain the new incarnation only.
	s.Place(epoch, Request{Service: "llm", Prompt: 100, Output: 10})
	sent := s.Digest(epoch, true, false).Servers
	_, named := sent[current.number]
	qt.Check(t, named, qt.IsTrue)
	_, named = sent[before.number]
	qt.Check(t, named, qt.IsFalse)
}

// Servers without an incarnation have the same number in all versions of the
// product, so that a fleet of two versions counts them alike.
func TestServerWithoutIncarnationKeepsNumber(t *testing.T) {
	s := New(DefaultConfig())
	s.Add("i-7", 0, "llm", "", 64)
	qt.Check(t, s.servers["i-7"].number, qt.Equals, ServerID(s.servers["i-7"].seed))
}
