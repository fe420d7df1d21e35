package direct

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/protocol/settings"
)

// releaseFleet is a fleet in the middle of a release, before which all routers were killed, with a store that tells the
// processes of routers apart.
type releaseFleet struct {
	*resumeFleet
	// last is the last process that registered, and handedOver are those of which the store says that they handed over.
	last       versions.Life
	handedOver []versions.Life
}

// startRelease returns the fleet as streams begin at the further version.
func startRelease(t *testing.T) *releaseFleet {
	one, store, second := startOneVersion(t)
	f := &releaseFleet{resumeFleet: one, last: versions.Life(len(one.routers))}
	f.restartAll()
	store.forget()
	f.write(second.entry("v2"))
	for n := range f.routers {
		f.beginAt(n, "v2")
	}
	f.goesOn(f.forgotten(), f.resumeForGood(1, f.forgotten(), breakAt), "before any router is stopped")
	return f
}

// forgotten returns an attempt at a stream of the first version that all routers have forgotten.
func (f *releaseFleet) forgotten() attempt {
	f.nextID++
	return attempt{id: fmt.Sprint("forgotten", f.nextID), versions: []string{"v1"}}
}

// stopAndStart stops the router as planned, unless it has ended, and starts its next process. Its store still has the
// former registration then; all routers learn of the next one.
func (f *releaseFleet) stopAndStart(n int) {
	f.Helper()
	old, other := f.routers[n], f.routers[(n+1)%len(f.routers)]
	id := old.set.ID
	old.end()
	old.waitFor("the former router's sockets are open", func() bool { return isFree(f.peers[id].Address) })
	old.source.mu.Lock()
	entries, written := old.source.now.Servers, slices.Clone(old.source.handedOver)
	old.source.mu.Unlock()
	f.handedOver = append(f.handedOver, written...)
	other.source.mu.Lock()
	f.served = slices.Clone(other.source.now.Served)
	other.source.mu.Unlock()
	f.last++
	f.change = func(id string, set *settings.Direct, s *testSource) {
		set.DataCentre = "dc-" + id
		s.life, s.now.HandedOver, s.now.Revision = f.last, slices.Clone(f.handedOver), other.router.knownRevision()
	}
	f.routers[n] = f.startRouter(id, maps.Clone(f.peers), entries)
	f.peers[id] = mirror.Registration{Address: f.peers[id].Address, Life: f.last}
	f.pass(mirror.Delta{HandedOver: written, Joined: map[string]mirror.Registration{id: f.peers[id]}})
}

// pass lets all routers learn of a change of the store. Those that get it from another one first ignore their store's.
func (f *releaseFleet) pass(d mirror.Delta) {
	f.Helper()
	for _, r := range f.routers {
		d.Revision = max(d.Revision, r.router.knownRevision()+1)
	}
	for _, r := range f.routers {
		r.source.changes <- d
		r.waitFor("the change did not arrive", func() bool { return r.router.knownRevision() >= d.Revision })
	}
}

// awaitProof waits until the router can prove the first version itself.
func (f *releaseFleet) awaitProof(n int) {
	f.Helper()
	r := f.routers[n]
	r.waitFor("the router has not taken the proof over", func() bool {
		r.router.mu.Lock()
		defer r.router.mu.Unlock()
		return r.router.says("app").Proven == "v1"
	})
}

// Guards against streams of the first version that nobody knows, all routers having been killed before the release, and
// that go on nowhere as routers are stopped and started again, as planned, in the release: one, two and all of them.
func TestStreamsThatNobodyKnowsGoOnThoughRoutersAreRestartedInTheRelease(t *testing.T) {
	f := startRelease(t)
	for n := range f.routers {
		other := f.beginAt(n, "v2")
		f.stopAndStart(n)
		for at := range f.routers {
			f.goesOn(f.forgotten(), f.resumeForGood(at, f.forgotten(), breakAt), "a stream of the first version")
			f.goesOn(other, f.resumeForGood(at, other, breakAt), "a stream of the further version, which was handed over")
		}
		f.awaitProof(n)
	}
}

// beginUnheard begins a stream of the further version at the router, which is cut off from the others before.
func (f *releaseFleet) beginUnheard(n int) attempt {
	f.Helper()
	f.routers[n].router.origins.conn.Store(nil)
	return f.beginAt(n, "v2")
}

// Guards against a stream that goes on at another version since the router that began it was stopped as planned and what
// it knew reached nobody: the path to the others was cut. It is refused, as is what nobody knows.
func TestAHandoverThatNobodyTookProvesNothing(t *testing.T) {
	f := startRelease(t)
	unheard := f.beginUnheard(0)
	f.stopAndStart(0)
	f.Check(f.handedOver, qt.HasLen, 0)
	for n := range f.routers {
		f.isRefused(f.resumeForGood(n, unheard, breakAt), false, "a stream that was not handed over")
		f.isRefused(f.resumeForGood(n, f.forgotten(), breakAt), false, "a stream of the first version")
	}
}

// Guards against the same where the router is killed and its next process registers before the entry of the former one
// has lapsed: the entry is not created anew then.
func TestAKillIsNoticedThoughTheNextProcessKeepsTheEntry(t *testing.T) {
	f := startRelease(t)
	unheard := f.beginUnheard(0)
	f.kill(0)
	f.stopAndStart(0)
	for n := range f.routers {
		f.isRefused(f.resumeForGood(n, unheard, breakAt), false, "a stream of the router that was killed")
		f.isRefused(f.resumeForGood(n, f.forgotten(), breakAt), false, "a stream of the first version")
	}
}

// Guards against a router that takes what another one hands over after it has handed over itself: nobody would know it.
func TestARouterThatHasHandedOverTakesNothing(t *testing.T) {
	f := startRelease(t)
	r := f.routers[1].router
	r.origins.mu.Lock()
	r.origins.isClosed = true
	r.origins.mu.Unlock()
	f.routers[2].router.origins.mu.Lock()
	f.routers[2].router.origins.isClosed = true
	f.routers[2].router.origins.mu.Unlock()
	f.beginAt(0, "v2")
	f.stopAndStart(0)
	f.Check(f.handedOver, qt.HasLen, 0)
}

// The records that need a receipt are sent until one other router has taken them; a receipt of another router, or of
// another part, is none.
func TestWhatIsHandedOverIsTakenOnce(t *testing.T) {
	one := func(id origin.ID) origin.Record {
		return origin.Record{ID: id, Origin: origin.Origin{Service: "app", Version: roster.Version("v2")}}
	}
	var h handover
	h.begin(batches{"r1": {one(1), one(2)}, "r2": {one(1), one(2)}, "r3": {one(3)}})
	parts := h.left()
	isDone, progress := h.state()
	qt.Assert(t, parts, qt.HasLen, 3)
	qt.Check(t, isDone, qt.IsFalse)
	numbers := map[string]uint32{}
	for number, part := range parts {
		numbers[part.to] = number
	}
	h.taken("r2", numbers["r1"])
	h.taken("r1", 77)
	qt.Check(t, h.left(), qt.HasLen, 3)
	h.taken("r1", numbers["r1"])
	isDone, _ = h.state()
	qt.Check(t, h.left(), qt.HasLen, 1, qt.Commentf("another router has what the second one would get"))
	qt.Check(t, isDone, qt.IsFalse)
	select {
	case <-progress:
	case <-time.After(time.Second):
		t.Error("who waits is not woken")
	}
	h.taken("r3", numbers["r3"])
	isDone, _ = h.state()
	qt.Check(t, isDone, qt.IsTrue)
}
