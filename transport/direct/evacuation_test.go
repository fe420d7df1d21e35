package direct

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/settings"
)

// inDataCentre returns the entry of a backend server in a data centre.
func inDataCentre(b *backendServer, dataCentre string) roster.Server {
	return roster.Server{ID: b.id, Address: b.address, Service: "app", DataCentre: dataCentre, Slots: 8}
}

// The operators evacuate a data centre and end the evacuation: its servers receive no requests
// meanwhile, runs there continue, and other servers serve its callers.
func TestAnEvacuatedDataCentreReceivesNothing(t *testing.T) {
	begun, end := make(chan bool, 1), make(chan bool)
	east := newBackend(t, "i-east", func(w io.Writer, req *http.Request) bool {
		if req.Header.Get(testID) == "long" {
			begun <- true
			<-end
		}
		return ok(w, req)
	})
	west := newBackend(t, "i-west", ok)
	var lines lineBuffer
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(&lines), func(_ *settings.Direct, s *testSource) {
		s.now.Servers = []roster.Server{inDataCentre(east, "east")}
	})
	long := make(chan reply, 1)
	go func() { long <- f.call("/safe/", "long") }()
	<-begun
	f.source.changes <- mirror.Delta{Evacuated: []string{"east"}, Servers: []roster.Server{inDataCentre(west, "west")}, Revision: 2}
	f.waitFor("the evacuation is not known", func() bool { return f.router.knownRevision() == 2 })
	for range 5 {
		f.Check(f.call("/safe/", "r").status, qt.Equals, http.StatusOK)
	}
	f.Check(west.runs(), qt.HasLen, 5)
	close(end)
	f.Check((<-long).status, qt.Equals, http.StatusOK)
	// The last data centre, too: what cannot be served is refused at once.
	f.source.changes <- mirror.Delta{Evacuated: []string{"west"}, Revision: 3}
	f.waitFor("the evacuation is not known", func() bool { return f.router.knownRevision() == 3 })
	sent := time.Now()
	f.Check(f.call("/safe/", "r").status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(time.Since(sent) < time.Second, qt.IsTrue)
	// A whole snapshot without evacuations ends them.
	f.router.replace(mirror.Snapshot{Servers: []roster.Server{inDataCentre(east, "east")}, Routers: map[string]mirror.Registration{}, Revision: 4})
	f.Check(f.call("/safe/", "back").status, qt.Equals, http.StatusOK)
	f.Check(east.runs(), qt.DeepEquals, []string{"long", "back"})
	f.Check(lines.String(), qt.Contains, "event=evacuation data_centre=east in_force=true revision=2")
	f.Check(lines.String(), qt.Contains, "event=evacuation data_centre=east in_force=false revision=4")
}

// A router that starts from another router's state knows what is evacuated.
func TestStartingRoutersLearnOfEvacuations(t *testing.T) {
	f := start(t, testConfig(1))
	f.source.changes <- mirror.Delta{Evacuated: []string{"east", "west"}, Revision: 2}
	f.source.changes <- mirror.Delta{Returned: []string{"west"}, Revision: 3}
	f.waitFor("the changes did not arrive", func() bool { return f.router.knownRevision() == 3 })
	whole, err := f.router.changesFor(changesRequest{Revision: 3})
	f.Assert(err, qt.IsNil)
	f.Check(whole.Whole.Evacuated, qt.DeepEquals, []string{"east"})
	changed, err := f.router.changesFor(changesRequest{Revision: 3, Have: 1})
	f.Assert(err, qt.IsNil)
	f.Check(changed.Changes.Evacuated, qt.DeepEquals, []string{"east"})
	f.Check(changed.Changes.Returned, qt.DeepEquals, []string{"west"})
}
