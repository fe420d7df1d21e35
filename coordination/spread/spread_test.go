package spread

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newState(watches bool) *State {
	cfg := DefaultConfig()
	cfg.Self, cfg.DataCentre, cfg.Watches = "r1", "dc", watches
	return New(cfg)
}

// firstAction returns the first action of the type, if any.
func firstAction[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			return a, true
		}
	}
	var none A
	return none, false
}

func TestDefaultsAreValid(t *testing.T) {
	qt.New(t).Assert(DefaultConfig().Validate(), qt.IsNil)
	qt.New(t).Assert(Config{}.Validate(), qt.IsNotNil)
}

func TestFetchesFromAPeerThatIsAhead(t *testing.T) {
	c := qt.New(t)
	s := newState(false)
	s.Step(start, PlatformAnswered{Revision: 3})
	s.Step(start, PeerReported{Peer: "p", Revision: 4})
	f, ok := firstAction[Fetch](s.Step(start.Add(time.Second), Ticked{}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(f.Peer, qt.Equals, "p")
	a, ok := firstAction[Announce](s.Step(start.Add(time.Second), Fetched{Peer: "p", Revision: 4}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(a.Revision, qt.Equals, uint64(4))
}

func TestFetchesFromAnotherPeerAfterTimeout(t *testing.T) {
	c := qt.New(t)
	s := newState(false)
	s.Step(start, PlatformAnswered{Revision: 1})
	s.Step(start, PeerReported{Peer: "a", Revision: 2})
	s.Step(start, PeerReported{Peer: "b", Revision: 2})
	first, _ := firstAction[Fetch](s.Step(start.Add(time.Second), Ticked{}))
	second, ok := firstAction[Fetch](s.Step(start.Add(3*time.Second), Ticked{}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(second.Peer, qt.Not(qt.Equals), first.Peer)
}

func TestWatcherCountPerDataCentre(t *testing.T) {
	c := qt.New(t)
	var members []Member
	for i := range 50 {
		members = append(members, Member{ID: fmt.Sprintf("r%d", i), DataCentre: "dc"})
	}
	watchers := 0
	for _, m := range members {
		cfg := DefaultConfig()
		cfg.Self, cfg.DataCentre, cfg.Watches = m.ID, "dc", true
		s := New(cfg)
		s.Step(start, InstancesListed{Routers: members, Processes: 50})
		if s.Watcher() {
			watchers++
		}
	}
	c.Assert(watchers, qt.Equals, 2)
}

func TestReadyWithoutThePlatform(t *testing.T) {
	c := qt.New(t)
	s := newState(true)
	s.Step(start, Ticked{})
	s.Step(start, PlatformFailed{})
	c.Assert(s.Ready(), qt.IsFalse)
	s.Step(start, PeerReported{Peer: "a", Revision: 7})
	s.Step(start, PeerReported{Peer: "b", Revision: 8})
	c.Assert(s.Ready(), qt.IsFalse)
	s.Step(start, Fetched{Peer: "a", Revision: 7})
	c.Assert(s.Ready(), qt.IsFalse, qt.Commentf("b has a newer revision"))
	s.Step(start, Fetched{Peer: "b", Revision: 8})
	c.Assert(s.Ready(), qt.IsTrue)
	c.Assert(s.Stale(), qt.IsFalse)
}

func TestReportsStaleness(t *testing.T) {
	c := qt.New(t)
	s := newState(true)
	s.Step(start, PlatformAnswered{Revision: 1})
	later := start.Add(DefaultConfig().StaleAfter + time.Second)
	f, ok := firstAction[Freshness](s.Step(later, PlatformFailed{}))
	c.Assert(ok && f.Stale, qt.IsTrue)
	f, ok = firstAction[Freshness](s.Step(later, PeerReported{Peer: "p", Revision: 1, Age: time.Second}))
	c.Assert(ok && !f.Stale, qt.IsTrue)
}

// The reads of an idle fleet stay within the budget, and the end of an outage
// doesn't cause a burst of reads.
func TestReadBudget(t *testing.T) {
	c := qt.New(t)
	const processes, seconds, outage = 500, 120, 40
	cfg := DefaultConfig()
	cfg.ReadBudget = 50
	reads := make([]int, seconds)
	for i := range processes {
		cfg.Self = fmt.Sprint(i)
		s := New(cfg)
		s.Step(start, InstancesListed{Processes: processes})
		for ms := 0; ms < seconds*1000; ms += 50 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if _, ok := firstAction[Read](s.Step(now, Ticked{})); !ok {
				continue
			}
			reads[ms/1000]++
			// The process has no revision, so no peer's report can replace a
			// read.
			var answer Event = PlatformAnswered{}
			if ms < outage*1000 {
				answer = PlatformFailed{}
			}
			s.Step(now, answer)
		}
	}
	worst := 0
	for _, n := range reads[1:] {
		worst = max(worst, n)
	}
	c.Assert(worst < 3*50, qt.IsTrue, qt.Commentf("%d reads in one second", worst))
}

// The current revision never decreases, in whatever order messages arrive.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(rapid.Bool().Draw(t, "watches"))
		now, held := start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			peer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
			rev := rapid.Uint64Range(0, 9).Draw(t, "revision")
			ev := rapid.SampledFrom([]Event{
				PeerReported{Peer: peer, Revision: rev}, Fetched{Peer: peer, Revision: rev},
				FetchFailed{Peer: peer}, PlatformAnswered{Revision: rev},
				PlatformFailed{}, Accepted{Revision: rev}, Ticked{},
			}).Draw(t, "event")
			s.Step(now, ev)
			if s.Revision() < held {
				t.Fatalf("revision decreased from %d to %d after %#v", held, s.Revision(), ev)
			}
			held = s.Revision()
		}
	})
}

func TestRecentConfirmationByPeerReplacesRead(t *testing.T) {
	c := qt.New(t)
	s := newState(false)
	s.Step(start, PlatformAnswered{Revision: 1})
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		s.Step(now, PeerReported{Peer: "p", Revision: 1, Age: 3 * time.Second})
		_, read := firstAction[Read](s.Step(now, Ticked{}))
		c.Assert(read, qt.IsFalse)
	}
	_, read := firstAction[Read](s.Step(start.Add(2*time.Minute), Ticked{}))
	c.Assert(read, qt.IsTrue, qt.Commentf("the revision has not been confirmed for a minute"))
}
