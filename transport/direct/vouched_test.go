package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
)

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
