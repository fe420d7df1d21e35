package direct

import (
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/vouching"
)

// settlingTime is how long it takes, at the most, until a doubt has ended whose evidence is sound:
// the lag of entries, the interval of their confirmations and the way to other routers.
const settlingTime = 6 * time.Second

// startDoubted starts routers before a server of v1, which gets the streams, and one of v2, and begins
// a stream right after the former has started again: its entry is older than its process.
func startDoubted(t *testing.T, routers int) (*resumeFleet, []*streamServer, attempt) {
	servers := twoVersions(t)[:2]
	entries := entriesOf(servers)
	entries[0].Slots = 800
	f := startResumeFleet(t, routers, entries...)
	time.Sleep(knowingTime)
	servers[0].restartAs(t, "v1")
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	return f, servers, first
}

// Guards against a stream that nobody can take up for as long as it is remembered, as the process that
// began it was not known when it broke off, though that was confirmed seconds later.
func TestADoubtedStreamThatEndedIsSettledOnceItsProcessIsKnown(t *testing.T) {
	f, _, first := startDoubted(t, 2)
	time.Sleep(settlingTime)
	for n := range f.routers {
		f.goesOn(first, f.resume(n, first, breakAt), "its process is known by now, at router "+strconv.Itoa(n))
	}
}

// Guards against a caller who is told for good that a stream goes on nowhere, while the process that
// began it is not known for only some seconds more.
func TestACallerOfADoubtedStreamIsToldWhenToComeBack(t *testing.T) {
	for n := range 2 {
		f, _, first := startDoubted(t, 2)
		got := f.resume(n, first, breakAt)
		f.isRefused(got, true, "the process is not known yet")
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		f.Assert(err, qt.IsNil, qt.Commentf("%q", got.header.Get("Retry-After")))
		after := time.Duration(seconds * float64(time.Second))
		f.Check(after > time.Second && after <= settlingTime, qt.IsTrue, qt.Commentf("%v", after))
		time.Sleep(after)
		f.goesOn(first, f.resume(n, first, breakAt), "it comes back when it was told to, to router "+strconv.Itoa(n))
	}
}

// Guards against a caller who is sent away, and opens another connection, when the doubt ends within a
// small part of the time that is left.
func TestACallerWaitsForADoubtThatEndsSoon(t *testing.T) {
	f, _, first := startDoubted(t, 2)
	f.allow(0, 15*time.Second)
	time.Sleep(vouching.DefaultConfig().EntryLag)
	got := f.try(0, pathStream, 0, testLast, strconv.Itoa(breakAt), testResumes, first.id, testLeft, "10000")
	f.goesOn(first, got, "a moment before the process is known")
}

// allow lets the requests at the router last so long.
func (f *resumeFleet) allow(n int, timeout time.Duration) {
	f.Helper()
	r := f.routers[n]
	c := testConfig(2)
	for i := range c.Routes {
		c.Routes[i].Timeout = timeout
	}
	r.source.changes <- mirror.Delta{Config: c, Revision: r.router.knownRevision() + 1}
	r.waitFor("the configuration is not in force", func() bool { return r.router.table.Load().Version() == 2 })
}

// Guards against callers who come back again and again to a stream whose doubt can not end, as the
// server's entry has named another version meanwhile.
func TestADoubtThatCannotEndIsRefusedForGood(t *testing.T) {
	f, servers, first := startDoubted(t, 2)
	f.write(servers[0].entry("v2"))
	f.write(servers[0].entry("v1"))
	time.Sleep(500 * time.Millisecond)
	for n := range f.routers {
		f.isRefused(f.resume(n, first, breakAt), false, "router "+strconv.Itoa(n))
	}
	time.Sleep(settlingTime)
	for n := range f.routers {
		f.isRefused(f.resume(n, first, breakAt), false, "and later, router "+strconv.Itoa(n))
	}
}

// Guards against a stream that goes on at the version of an entry whose process was another one: the
// server started again as another version before the stream, and as the first one after it.
func TestADoubtedStreamOfAProcessThatNeverWroteItsEntry(t *testing.T) {
	servers := twoVersions(t)[:2]
	entries := entriesOf(servers)
	entries[0].Slots = 800
	f := startResumeFleet(t, 2, entries...)
	time.Sleep(knowingTime)
	servers[0].restartAs(t, "v2")
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v2")
	servers[0].restartAs(t, "v1")
	for _, wait := range []time.Duration{0, vouching.DefaultConfig().EntryLag, settlingTime - vouching.DefaultConfig().EntryLag} {
		time.Sleep(wait)
		for n := range f.routers {
			f.isNotJoined(first, f.resume(n, first, breakAt), "router "+strconv.Itoa(n))
		}
	}
}

// lapse ends the entries of the servers while the store is away, as their leases run out, and waits
// until no router uses them any more.
func (f *resumeFleet) lapse(servers ...*streamServer) {
	f.Helper()
	for _, r := range f.routers {
		r.source.setDown(true)
	}
	time.Sleep(storeAway)
	for _, r := range f.routers {
		r.source.mu.Lock()
		r.source.now.Servers = slices.DeleteFunc(slices.Clone(r.source.now.Servers), func(s roster.Server) bool {
			return slices.ContainsFunc(servers, func(one *streamServer) bool { return one.id == s.ID })
		})
		r.source.now.Revision++
		r.source.mu.Unlock()
		r.source.setDown(false)
	}
	time.Sleep(roster.DefaultConfig().ReturnGrace)
	for _, r := range f.routers {
		r.waitFor("the server is still used", func() bool { _, known := r.router.server(servers[0].id); return !known })
	}
}

// storeAway is how long the store is away in these tests: until each router has noticed it.
const storeAway = 2500 * time.Millisecond

// Guards against a stream that is refused for good as its version has no server, where the entry of the
// only one has lapsed while the store was away: it comes back.
func TestAStreamWhoseVersionLapsedIsRefusedForNow(t *testing.T) {
	servers := twoVersions(t)[:2]
	f := startResumeFleet(t, 2, entriesOf(servers)...)
	time.Sleep(knowingTime)
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	f.lapse(servers[0])
	for n := range f.routers {
		f.isRefused(f.resume(n, first, breakAt), true, "its entry lapsed, router "+strconv.Itoa(n))
	}
	f.write(servers[0].entry("v1"))
	for n := range f.routers {
		f.goesOn(first, f.resume(n, first, breakAt), "its entry is back, router "+strconv.Itoa(n))
	}
}

// Guards against the same where the entry was still there when the store came back, and lapsed a moment
// later, before its server had reached the store.
func TestAStreamWhoseVersionLapsedAfterTheStoresReturn(t *testing.T) {
	servers := twoVersions(t)[:2]
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	time.Sleep(knowingTime)
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	r := f.routers[0]
	r.source.setDown(true)
	time.Sleep(storeAway)
	before := r.source.counted()
	r.source.setDown(false)
	r.waitFor("the store is not read again", func() bool { return r.source.counted() > before+2 })
	r.source.changes <- mirror.Delta{Removed: []string{servers[0].id}, Revision: r.router.knownRevision() + 1}
	r.waitFor("the server is still used", func() bool { _, known := r.router.server(servers[0].id); return !known })
	f.isRefused(f.resume(0, first, breakAt), true, "its entry lapsed")
	// Nothing brings it back: then the caller has to know.
	time.Sleep(roster.DefaultConfig().ReturnGrace + settlingTime)
	f.isRefused(f.resume(0, first, breakAt), false, "it did not come back")
}

// Guards against callers who come back too soon, again and again, while no connection to a server of
// their version is vouched for, or too late once one is.
func TestAStreamWithoutAVouchedConnectionIsToldWhenToComeBack(t *testing.T) {
	servers := twoVersions(t)[:2]
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	time.Sleep(knowingTime)
	first := f.begin(0)
	f.Assert(first.versions[0], qt.Equals, "v1")
	servers[0].restartAs(t, "v1")
	got := f.resume(0, first, breakAt)
	f.isRefused(got, true, "its only server has started again")
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	f.Assert(err, qt.IsNil, qt.Commentf("%q", got.header.Get("Retry-After")))
	after := time.Duration(seconds * float64(time.Second))
	f.Check(after > 2*time.Second && after <= settlingTime, qt.IsTrue, qt.Commentf("%v", after))
	time.Sleep(after)
	f.goesOn(first, f.resume(0, first, breakAt), "it comes back when it was told to")
}
