package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against repeated prefills where thirty routers each see a document only now
// and then: one that does not know which server has it cached would have its prefill
// repeated, which takes an engine 74 ms.
func TestRoutersAnnounceCachedPrefixes(t *testing.T) {
	a, b := linked(9), linked(9)
	run := a.Place(epoch, prompt(6000, document)).Run
	b.ReceiveDigest(epoch, "a", a.Digest(epoch, false, false))
	b.startRun(epoch, b.servers[run.Server()], 20000, nil)
	got := b.Place(epoch, prompt(6000, document))
	qt.Check(t, got.Source, qt.Equals, run.Server())
	qt.Check(t, got.Server, qt.Not(qt.Equals), run.Server())
}

// A cached prefix is announced once in half of PrefixTTL, small ones never, and an
// announcement of another router is not repeated.
func TestAnnouncementInterval(t *testing.T) {
	a, b := linked(1), linked(1)
	a.SetRouters(10)
	b.SetRouters(10)
	place := func(s *State, now time.Time, prefix Prefix) int {
		s.FirstByte(now, s.Place(now, prompt(6000, prefix)).Run)
		return len(s.Digest(now, false, false).CachedPrefixes)
	}
	qt.Check(t, place(a, epoch, document), qt.Equals, 1)
	qt.Check(t, place(a, epoch.Add(time.Second), document), qt.Equals, 0)
	qt.Check(t, place(a, epoch.Add(6*time.Second), document), qt.Equals, 1)
	qt.Check(t, place(a, epoch, Prefix{ID: 9, Tokens: 100}), qt.Equals, 0)

	b.receiveAnnouncements(epoch, []CachedPrefix{{Server: b.servers["i-0"].number, Prefix: document.ID}, {Server: 12345, Prefix: 1}})
	qt.Check(t, place(b, epoch.Add(time.Second), document), qt.Equals, 0)
}

// What does not fit into one digest goes into the next ones, and the number of
// pending announcements is limited.
func TestPendingAnnouncementsAreLimited(t *testing.T) {
	s := linked(1)
	srv := s.servers["i-0"]
	for id := range uint64(maxPendingAnnouncements + 100) {
		s.recordPrefixes(epoch, srv, []Prefix{{ID: id, Tokens: 1000}})
	}
	announced := 0
	for {
		n := len(s.Digest(epoch, false, false).CachedPrefixes)
		if n == 0 {
			break
		}
		qt.Assert(t, n <= maxAnnouncements, qt.IsTrue)
		announced += n
	}
	qt.Check(t, announced, qt.Equals, maxPendingAnnouncements)
}
