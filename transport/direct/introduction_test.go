package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
)

// introducedIn bounds how long these tests wait until streams begin at a version that is new to the fleet.
const introducedIn = 8 * time.Second

// beginAt begins streams at the router until one begins at the version, breaks that off and returns it. Streams
// that stay open make the next one go elsewhere.
func (f *resumeFleet) beginAt(n int, version string) attempt {
	f.Helper()
	for end := time.Now().Add(introducedIn); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if got := f.begin(n); got.versions[0] == version {
			return got
		}
		f.occupy(n)
	}
	f.Fatalf("no stream began at %s", version)
	return attempt{}
}

// join shows the router another server's entry, as its store does.
func (f *resumeFleet) join(n int, entry roster.Server) {
	f.Helper()
	r := f.routers[n]
	entry.Revision = r.router.knownRevision() + 1
	r.source.changes <- mirror.Delta{Servers: []roster.Server{entry}, Revision: entry.Revision}
	r.waitFor("the entry did not arrive", func() bool { _, known := r.router.server(entry.ID); return known })
}

// cutOff ends all contact of the router with the store and with other routers.
func (f *resumeFleet) cutOff(n int) {
	f.routers[n].source.setDown(true)
	for other, r := range f.routers {
		if other == n {
			continue
		}
		r.router.mu.Lock()
		delete(r.router.peers, f.routers[n].set.ID)
		r.router.countRouters()
		r.router.mu.Unlock()
	}
	r := f.routers[n].router
	r.mu.Lock()
	clear(r.peers)
	r.countRouters()
	r.mu.Unlock()
	r.origins.conn.Store(nil)
}

// Guards against a router that is cut off as the first server of a further version joins, and for a moment still
// takes the only version that it knows for that of a stream which began at the other one elsewhere.
func TestARouterOutOfStepDoesNotGoOnAtTheVersionThatItKnows(t *testing.T) {
	servers := []*streamServer{newStreamServer(t, "i-2", "v1"), newStreamServer(t, "i-3", "v1"), newStreamServer(t, "i-1", "v2")}
	f := startResumeFleet(t, 3, entriesOf(servers[:2])...)
	f.exchanged()
	f.cutOff(2)
	f.join(0, servers[2].entry("v2"))
	f.join(1, servers[2].entry("v2"))
	began := map[string]int{}
	for end := time.Now().Add(introducedIn); began["v2"] < 5; time.Sleep(20 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("streams began at %v", began))
		first := f.begin(0)
		f.occupy(0)
		began[first.versions[0]]++
		f.isNotJoined(first, f.resume(2, first, breakAt), "a router out of step")
	}
}

// restartAll ends all routers without a word, starts them anew and waits until they know each other.
func (f *resumeFleet) restartAll() {
	f.Helper()
	f.endAll()
	for n := range f.routers {
		f.again(n)
	}
	f.exchanged()
}

// Guards against streams that go on nowhere since all routers were killed before a further version came:
// nobody knows where they began, and those that know all streams of the further version know them not.
func TestStreamsOfRoutersThatWereKilledBeforeAFurtherVersionGoOn(t *testing.T) {
	f, store, second := startOneVersion(t)
	first := f.begin(0)
	f.restartAll()
	store.forget()
	f.write(second.entry("v2"))
	f.goesOn(first, f.resume(1, first, breakAt), "as the further version is new")
	other := f.beginAt(0, "v2")
	f.goesOn(first, f.resume(1, first, breakAt), "as streams begin at the further version")
	f.goesOn(first, f.resume(2, first, breakAt), "the same at another router")
	f.isNotJoined(other, f.resume(1, other, breakAt), "a stream of the further version")
}

// Guards against the former where a router was killed since streams begin at the further version: what it began
// is not known, and a stream that nobody knows may be of either version.
func TestAStreamThatNobodyKnowsAfterAKillAmongTwoVersionsDoesNotGoOn(t *testing.T) {
	f, store, second := startOneVersion(t)
	first := f.begin(0)
	f.restartAll()
	f.write(second.entry("v2"))
	f.beginAt(0, "v2")
	f.kill(0)
	f.routers = f.routers[1:]
	for _, r := range f.routers {
		r.source.changes <- mirror.Delta{Left: []string{"r0"}, Revision: r.router.knownRevision() + 1}
	}
	f.routers[0].waitFor("the router is still known", func() bool { fleet, _ := f.routers[0].router.otherRouters(); return fleet.Size() == 2 })
	store.forget()
	f.isRefused(f.resumeForGood(0, attempt{id: "unheard-of"}, breakAt), false, "a router was killed")
	f.isNotJoined(first, f.resume(1, first, breakAt), "a stream of before")
}

// forget drops all that was written.
func (o *originStore) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.batches = map[string][]origin.Record{}
}
