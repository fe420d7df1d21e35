package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Pattern: thirty routers see a document each now and then. Ground: one that
// does not know which server holds it has it read once more, 74 ms of an engine.
func TestRoutersAnnounceWhoHoldsADocument(t *testing.T) {
	a, b := linked(9), linked(9)
	run := a.Place(epoch, prompt(6000, document)).Run
	b.Told(epoch, "a", a.Digest(epoch, false, false))
	b.start(epoch, b.servers[run.Server()], 20000, nil)
	got := b.Place(epoch, prompt(6000, document))
	qt.Check(t, got.Source, qt.Equals, run.Server())
	qt.Check(t, got.Server, qt.Not(qt.Equals), run.Server())
}

// A holding is announced once in half of the time for which it is believed,
// small parts never, and what another router announced is not announced again.
func TestAHoldingIsAnnouncedNowAndThen(t *testing.T) {
	a, b := linked(1), linked(1)
	a.SetRouters(10)
	b.SetRouters(10)
	place := func(s *State, now time.Time, part Part) int {
		s.FirstByte(now, s.Place(now, prompt(6000, part)).Run)
		return len(s.Digest(now, false, false).Holdings)
	}
	qt.Check(t, place(a, epoch, document), qt.Equals, 1)
	qt.Check(t, place(a, epoch.Add(time.Second), document), qt.Equals, 0)
	qt.Check(t, place(a, epoch.Add(6*time.Second), document), qt.Equals, 1)
	qt.Check(t, place(a, epoch, Part{ID: 9, Tokens: 100}), qt.Equals, 0)

	b.learnHoldings(epoch, []Holding{{Server: b.servers["i-0"].number, Part: document.ID}, {Server: 12345, Part: 1}})
	qt.Check(t, place(b, epoch.Add(time.Second), document), qt.Equals, 0)
}

// What one digest cannot hold goes into the next ones, and no more than a bound
// waits.
func TestHoldingsAreBounded(t *testing.T) {
	s := linked(1)
	one := s.servers["i-0"]
	for id := range uint64(maxUnannounced + 100) {
		s.use(epoch, one, []Part{{ID: id, Tokens: 1000}})
	}
	announced := 0
	for {
		n := len(s.Digest(epoch, false, false).Holdings)
		if n == 0 {
			break
		}
		qt.Assert(t, n <= maxHoldings, qt.IsTrue)
		announced += n
	}
	qt.Check(t, announced, qt.Equals, maxUnannounced)
}
