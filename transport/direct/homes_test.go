package direct

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/settings"
)

// Three regions, a route and a team with homes: both restrict the request, its body reaches no
// server elsewhere, and a request whose homes are all gone is refused at once.
func TestBodiesReachOnlyTheirHomes(t *testing.T) {
	north, south, west := newBackend(t, "i-north", ok), newBackend(t, "i-south", ok), newBackend(t, "i-west", ok)
	c := testConfig(1)
	for i := range c.Routes {
		if c.Routes[i].Name == "keyed" || c.Routes[i].Name == "safe" {
			c.Routes[i].Homes = []string{"north", "south"}
		}
	}
	c.Teams[0].Homes = []string{"south", "west"}
	f := startWith(t, c, func(set *settings.Direct, s *testSource) {
		set.Regions = map[string]string{"north-1": "north", "south-1": "south", "west-1": "west"}
		s.now.Servers = []roster.Server{
			inDataCentre(north, "north-1"), inDataCentre(south, "south-1"), inDataCentre(west, "west-1"), inDataCentre(newBackend(t, "i-unknown", ok), "new-1"),
		}
	})
	for range 20 {
		f.Check(f.call("/keyed/", "r1", testKey, "key").status, qt.Equals, http.StatusOK)
		f.Check(f.call("/safe/", "r2").status, qt.Equals, http.StatusOK)
	}
	f.Check(west.runs(), qt.HasLen, 0)
	f.Check(len(north.runs()) > 0, qt.IsTrue)
	for _, id := range north.runs() {
		f.Check(id, qt.Equals, "r2")
	}
	f.source.changes <- mirror.Delta{Removed: []string{"i-south"}, Revision: 2}
	f.waitFor("the server is still known", func() bool { return f.router.knownRevision() == 2 })
	f.Check(f.call("/keyed/", "r3", testKey, "key").status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(f.call("/safe/", "r4").status, qt.Equals, http.StatusOK)
	f.Check(west.runs(), qt.HasLen, 0)
}
