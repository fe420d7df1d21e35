package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// linked returns engines that fetch prompt tokens from each other's cache, 2,500 per
// millisecond.
func linked(n int) *State {
	s := engines(n)
	s.SetService("llm", Traits{Engine: true, FetchRate: 2500})
	return s
}

// document is a shared prefix of many requests.
var document = Prefix{ID: 4711, Tokens: 4870}

// Guards against a repeated prefill of a document while the server that has it
// cached prefills a long prompt: the prefill of 4,870 tokens takes an engine 74 ms,
// a fetch from the other server's cache 5 ms.
func TestDocumentIsFetchedFromServerThatCachedIt(t *testing.T) {
	s := linked(9)
	first := s.Place(epoch, prompt(6000, document))
	qt.Assert(t, first.Verdict, qt.Equals, Send)
	qt.Check(t, first.Source, qt.Equals, "")
	s.FirstByte(epoch, first.Run)
	// The server that has the document cached is idle and gets the next request.
	again := s.Place(epoch, prompt(6000, document))
	qt.Check(t, again.Server, qt.Equals, first.Server)
	qt.Check(t, again.Source, qt.Equals, "")
	qt.Check(t, again.Unread, qt.Equals, 6000-document.Tokens)
	s.FirstByte(epoch, again.Run)

	s.startRun(epoch, s.servers[first.Server], 20000, nil)
	other := s.Place(epoch, prompt(6000, document))
	qt.Assert(t, other.Verdict, qt.Equals, Send)
	qt.Check(t, other.Server, qt.Not(qt.Equals), first.Server)
	qt.Check(t, other.Source, qt.Equals, first.Server)
	qt.Check(t, other.Unread, qt.Equals, 6000-document.Tokens)
}

// While the first servers by rank for a document are busy, any server of the pool
// can serve it where servers can fetch from each other's cache. Where they cannot, a
// fourth server would have to repeat its prefill, at the cost of all requests.
func TestAnyServerMayServeWhereFetchingWorks(t *testing.T) {
	for _, tc := range []struct {
		state *State
		want  Verdict
	}{{linked(9), Send}, {engines(9), Refuse}} {
		s := tc.state
		s.cfg.WideStanding = 0
		run := s.Place(epoch, prompt(6000, document)).Run
		s.Ended(epoch, run, health.Success)
		for _, srv := range topRanked(s.pool("llm").servers, document.ID, s.cfg.Candidates) {
			s.startRun(epoch, srv, 60000, nil)
		}
		got := s.Place(epoch, prompt(6000, document))
		qt.Check(t, got.Verdict, qt.Equals, tc.want)
	}
}

// A document that no server is known to have cached is prefilled at the first server
// by rank, where all routers look for it.
func TestUnknownDocumentIsPrefilledAtFirstServer(t *testing.T) {
	s := linked(9)
	preferred := topRanked(s.pool("llm").servers, document.ID, 1)[0]
	got := s.Place(epoch, prompt(6000, document))
	qt.Check(t, got.Server, qt.Equals, preferred.id)
	// The cached prefix expires.
	s.Ended(epoch, got.Run, health.Success)
	later := epoch.Add(s.cfg.PrefixTTL + 1)
	s.startRun(later, preferred, 3000, nil)
	qt.Check(t, s.Place(later, prompt(6000, document)).Source, qt.Equals, "")
}

// Guards against repeated prefills by a router that has just started or sees few
// requests, and therefore knows no server that has a document cached. All routers
// send it to the first server by rank if they can, so that one most likely has it
// cached. Of 232,000 tokens of shared prefixes whose prefill was repeated in a day,
// a third could have been fetched from there.
func TestUnknownDocumentIsFetchedFromFirstServer(t *testing.T) {
	s := linked(9)
	preferred := topRanked(s.pool("llm").servers, document.ID, 1)[0]
	s.startRun(epoch, preferred, 60000, nil)
	got := s.Place(epoch, prompt(6000, document))
	qt.Assert(t, got.Verdict, qt.Equals, Send)
	qt.Check(t, got.Server, qt.Not(qt.Equals), preferred.id)
	qt.Check(t, got.Source, qt.Equals, preferred.id)
	// Where servers cannot fetch from each other, the decision names no source.
	s = engines(9)
	s.startRun(epoch, preferred, 60000, nil)
	qt.Check(t, s.Place(epoch, prompt(6000, document)).Source, qt.Equals, "")
}
