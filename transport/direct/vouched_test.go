package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/vouching"
	"goldcrestport/transport/backend"
)

// Guards against streams that nobody can take up in the first moment of a release, and callers who are
// told to come back seconds later: from its first entry on, which version a process is of must be known.
func TestProcessesAreKnownFromTheFirstMomentOfARelease(t *testing.T) {
	servers := twoVersions(t)[:2]
	f := startResumeFleet(t, 6, servers[0].entry("v1"))
	// The entry is not new any more.
	time.Sleep(vouching.DefaultConfig().EntryLag + 200*time.Millisecond)
	f.write(servers[1].entry("v2"))
	time.Sleep(50 * time.Millisecond)
	for n, r := range f.routers {
		f.Check(r.router.pool.Offers(servers[0].id, backend.VouchedFor), qt.IsTrue, qt.Commentf("router %d", n))
	}
}

// Guards against a version none of whose servers may carry a stream on, as the connections that are
// kept for that all lead to the many servers of another version, late in a release.
func TestEachVersionHasServersWhoseProcessesAreKnown(t *testing.T) {
	r := startResumeFleet(t, 1).routers[0].router
	add := func(s roster.Server) {
		r.servers[s.ID] = s
		r.versions.Add(s.Service, s.Version)
	}
	old := roster.Server{ID: "j-1", Service: "app", Version: "v1", DataCentre: "far"}
	r.mu.Lock()
	for n := range 3 * maxVouched {
		add(roster.Server{ID: fmt.Sprintf("i-%03d", n), Service: "app", Version: "v2", DataCentre: r.set.DataCentre})
	}
	add(old)
	r.mu.Unlock()
	got := r.serversToVouch(time.Now())
	qt.Check(t, got, qt.HasLen, maxVouched)
	qt.Check(t, slices.Contains(got, old), qt.IsTrue)
}
