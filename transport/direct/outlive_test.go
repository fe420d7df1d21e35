package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/origin"
)

// knownIn is how long these tests wait until what is announced and written has arrived.
const knownIn = 2500 * time.Millisecond

// startOneVersion starts three routers in data centres of their own before servers of the first version,
// and returns a server of the second that has no entry yet.
func startOneVersion(t *testing.T) (*resumeFleet, *originStore, *streamServer) {
	servers := []*streamServer{newStreamServer(t, "i-1", "v1"), newStreamServer(t, "i-4", "v1")}
	store := &originStore{batches: map[string][]origin.Record{}}
	return startApart(t, 3, store, entriesOf(servers)...), store, newStreamServer(t, "i-2", "v2")
}

// killAndBegin ends the router without a word to others, and starts it anew.
func (f *resumeFleet) killAndBegin(n int) {
	f.kill(n)
	f.again(n)
	f.exchanged()
}

// Guards against streams that broke off shortly before a second version appears, and are refused for
// good when their router is killed seconds after: it tells others only of those that still run.
func TestAStreamThatBrokeOffBeforeASecondVersionOutlivesItsRouter(t *testing.T) {
	f, _, second := startOneVersion(t)
	first := f.begin(0)
	time.Sleep(knownIn)
	f.write(second.entry("v2"))
	time.Sleep(knownIn)
	f.killAndBegin(0)
	f.goesOn(first, f.resume(1, first, breakAt), "its router was killed after the second version appeared")
}

// Guards against streams that are refused for good as a second version appears between the end of
// their router and the return of their caller: with one version nobody else knows them.
func TestAStreamOutlivesItsRouterThoughASecondVersionAppears(t *testing.T) {
	f, _, second := startOneVersion(t)
	first := f.begin(0)
	time.Sleep(knownIn)
	f.killAndBegin(0)
	f.write(second.entry("v2"))
	f.goesOn(first, f.resume(1, first, breakAt), "a second version appeared after its router was killed")
}

// Guards against callers of a service with one version who wait for a router that does not answer
// longer than they did before there was a longer limit: what it knows is not needed.
func TestACallerDoesNotWaitLongWhereThereIsOneVersion(t *testing.T) {
	f, _, _ := startOneVersion(t)
	first := f.begin(0)
	f.kill(0)
	f.routers = f.routers[1:]
	begin := time.Now()
	got := f.resume(0, first, breakAt)
	took := time.Since(begin)
	f.goesOn(first, got, "one version")
	f.Check(took < 4*minAskLimit, qt.IsTrue, qt.Commentf("took %v", took))
}

// Guards against a fleet of 12 in which routers that were killed are asked and one that lives and has read
// the store's entry is not: it watches the store, and is no owner of the stream.
func TestARouterThatReadTheStoreIsAsked(t *testing.T) {
	f := startResumeFleet(t, 1, entriesOf(twoVersions(t))...)
	others := []string{"late"}
	for n := range 10 {
		others = append(others, fmt.Sprint("killed", n))
	}
	// A stream of which the router is no owner by rank, if there is one.
	named := ""
	for n := 0; n < 1000 && (named == "" || slices.Contains((origin.Fleet{Far: others}).Holders(origin.IDOf(named)), "late")); n++ {
		named = fmt.Sprint("elsewhere", n)
	}
	record := origin.Record{ID: origin.IDOf(named), Origin: origin.Origin{Service: "app", Version: "v1"}}
	f.joins(0, "late", startLate(f, 0, record).address)
	for _, id := range others[1:] {
		f.joins(0, id, freeAddress(f.C))
	}
	f.goesOn(attempt{versions: []string{"v1"}}, f.resumeWith(0, named, breakAt), "a router that is not asked knows it")
}

// Guards against a draining server that others do not learn of from one message, as an origin that was
// written after it replaces it while the message waits to be sent.
func TestAttachedChangesFollowEachOther(t *testing.T) {
	r := &Router{}
	r.attachChanges(10, mirror.Delta{Removed: []string{"i-1"}, Revision: 11})
	r.attachChanges(11, mirror.Delta{Origins: []origin.Stored{{Router: "r1"}}, Revision: 12})
	changes, after := r.attached.takeAll()
	var d mirror.Delta
	qt.Assert(t, unpack(changes, &d), qt.IsNil)
	qt.Check(t, after, qt.Equals, uint64(10))
	qt.Check(t, d.Removed, qt.DeepEquals, []string{"i-1"})
}
