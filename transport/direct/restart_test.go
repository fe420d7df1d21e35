package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/origin"
)

// Guards against streams that are refused for good after all routers were killed at once: what they
// knew was in their memory only.
func TestStreamsGoOnAfterAllRoutersWereKilled(t *testing.T) {
	store := &originStore{batches: map[string][]origin.Record{}}
	f := startApart(t, 3, store, entriesOf(twoVersions(t))...)
	first := f.begin(0)
	f.waitKept(store, first)
	f.endAll()
	for n := range f.routers {
		f.again(n)
	}
	f.goesOn(first, f.resume(1, first, breakAt), "all routers were killed")
}

// Guards against the same after all routers were restarted one after the other, where the store has
// nothing: a router that is stopped has to leave what it knows with others.
func TestStreamsGoOnAfterARollingRestart(t *testing.T) {
	f := startApart(t, 3, nil, entriesOf(twoVersions(t))...)
	first := f.begin(0)
	for n := range f.routers {
		f.again(n)
		f.exchanged()
	}
	for n := range f.routers {
		f.goesOn(first, f.resume(n, first, breakAt), "all routers were restarted")
	}
}

// Guards against a stream that is known only to the router that relays it, after those that were told
// began anew: where no other router is in its data centre, they were not told again.
func TestARunningStreamIsToldAgainBeyondItsDataCentre(t *testing.T) {
	f := startApart(t, 3, nil, entriesOf(twoVersions(t))...)
	version := f.occupy(0)
	named := f.lastID()
	time.Sleep(1100 * time.Millisecond)
	for n := 1; n < 3; n++ {
		f.routers[n].end()
	}
	for n := 1; n < 3; n++ {
		f.again(n)
	}
	f.exchanged()
	time.Sleep(700 * time.Millisecond)
	f.kill(0)
	got := f.resumeWith(1, named, 1)
	f.goesOn(attempt{versions: []string{version}}, got, "those that were told began anew")
}

// Guards against a stream that is refused though a router that lacks processor time knows it, and
// answers after 80 ms: the caller has seconds left.
func TestALateRouterIsAwaitedWhileItsCallerHasTime(t *testing.T) {
	servers := twoVersions(t)
	f := startResumeFleet(t, 1, entriesOf(servers)...)
	record := origin.Record{ID: origin.IDOf("elsewhere"), Origin: origin.Origin{Service: "app", Version: "v1"}}
	late := startLate(f, 80*time.Millisecond, record)
	f.joins(0, "late", late.address)
	got := f.resumeWith(0, "elsewhere", breakAt)
	f.Check(got.status, qt.Equals, 200)
	f.goesOn(attempt{versions: []string{"v1"}}, got, "a router answers late")
}
