package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// linked returns engines that take prompts from each other's memory, 2,500
// tokens a millisecond.
func linked(n int) *State {
	s := engines(n)
	s.SetService("llm", Traits{Engine: true, FetchRate: 2500})
	return s
}

// document is a shared part that many requests ask about.
var document = Part{ID: 4711, Tokens: 4870}

// Pattern: a document is asked about again and again while the server that
// holds it reads a long prompt. Ground: reading 4,870 tokens again takes an
// engine 74 ms, taking them from the other's memory 5.
func TestADocumentIsTakenFromTheServerThatHoldsIt(t *testing.T) {
	s := linked(9)
	first := s.Place(epoch, prompt(6000, document))
	qt.Assert(t, first.Verdict, qt.Equals, Send)
	qt.Check(t, first.Source, qt.Equals, "")
	s.FirstByte(epoch, first.Run)
	// The server that holds the document is idle: it serves the next one.
	again := s.Place(epoch, prompt(6000, document))
	qt.Check(t, again.Server, qt.Equals, first.Server)
	qt.Check(t, again.Source, qt.Equals, "")
	qt.Check(t, again.Unread, qt.Equals, 6000-document.Tokens)
	s.FirstByte(epoch, again.Run)

	s.start(epoch, s.servers[first.Server], 20000, nil)
	other := s.Place(epoch, prompt(6000, document))
	qt.Assert(t, other.Verdict, qt.Equals, Send)
	qt.Check(t, other.Server, qt.Not(qt.Equals), first.Server)
	qt.Check(t, other.Source, qt.Equals, first.Server)
	qt.Check(t, other.Unread, qt.Equals, 6000-document.Tokens)
}

// Pattern: all of a document's own servers are busy. Ground: with fetching any
// server of the pool will do; without it a fourth server would read the
// document again, which all pay for.
func TestAnyServerWillDoWhereMemoryIsPassedOn(t *testing.T) {
	for _, tc := range []struct {
		state *State
		want  Verdict
	}{{linked(9), Send}, {engines(9), Refuse}} {
		s := tc.state
		s.cfg.Wider = 0
		run := s.Place(epoch, prompt(6000, document)).Run
		s.Ended(epoch, run, health.Success)
		for _, one := range first(s.pool("llm").servers, document.ID, s.cfg.Candidates) {
			s.start(epoch, one, 60000, nil)
		}
		got := s.Place(epoch, prompt(6000, document))
		qt.Check(t, got.Verdict, qt.Equals, tc.want)
	}
}

// While nobody is known to hold a document, it is read at the first server of
// its order, where all routers look for it.
func TestAnUnknownDocumentIsReadAtItsFirstServer(t *testing.T) {
	s := linked(9)
	home := first(s.pool("llm").servers, document.ID, 1)[0]
	got := s.Place(epoch, prompt(6000, document))
	qt.Check(t, got.Server, qt.Equals, home.id)
	// What was believed to be held is forgotten after a time.
	s.Ended(epoch, got.Run, health.Success)
	later := epoch.Add(s.cfg.BeliefTime + 1)
	s.start(later, home, 3000, nil)
	qt.Check(t, s.Place(later, prompt(6000, document)).Source, qt.Equals, "")
}

// Pattern: a router that just began, or that sees few requests, knows no server
// that holds a document. Ground: all routers send it to the first server of its
// order while they can, so that one most likely holds it; of 232,000 tokens of
// shared parts that were read again in a day a third was read for want of asking.
func TestAnUnknownDocumentIsTakenFromItsFirstServer(t *testing.T) {
	s := linked(9)
	home := first(s.pool("llm").servers, document.ID, 1)[0]
	s.start(epoch, home, 60000, nil)
	got := s.Place(epoch, prompt(6000, document))
	qt.Assert(t, got.Verdict, qt.Equals, Send)
	qt.Check(t, got.Server, qt.Not(qt.Equals), home.id)
	qt.Check(t, got.Source, qt.Equals, home.id)
	// Where memory cannot be passed on, nothing is asked for.
	s = engines(9)
	s.start(epoch, home, 60000, nil)
	qt.Check(t, s.Place(epoch, prompt(6000, document)).Source, qt.Equals, "")
}
