package direct

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/settings"
)

// A server that joins cold receives no more than its rate, and the rest goes to the warm
// server; without a warm one callers are refused at once with a Retry-After.
func TestAColdServerReceivesNoMoreThanItsRate(t *testing.T) {
	cold, warm := newBackend(t, "i-cold", ok), newBackend(t, "i-warm", ok)
	c := testConfig(1)
	c.Services[0].ColdRate, c.Services[0].ColdFor = 2, time.Minute
	f := startWith(t, c, func(set *settings.Direct, s *testSource) {
		s.now.Routers = map[string]mirror.Registration{set.ID: {Since: 1}}
		s.now.Servers = servers(warm)
	})
	f.makeMember()
	joins := servers(cold)[0]
	joins.ColdFor, joins.Revision = time.Minute, 2
	f.source.changes <- mirror.Delta{Servers: []roster.Server{joins}, Revision: 2}
	f.waitFor("the server is not known", func() bool { return f.router.knownRevision() == 2 })
	for i := range 40 {
		f.Check(f.call("/safe/", fmt.Sprint("r", i)).status, qt.Equals, http.StatusOK)
	}
	f.Check(len(cold.runs()) > 0, qt.IsTrue)
	f.Check(len(cold.runs()) <= 8, qt.IsTrue, qt.Commentf("%d runs", len(cold.runs())))
	f.source.changes <- mirror.Delta{Removed: []string{"i-warm"}, Revision: 3}
	f.waitFor("the server is still known", func() bool { return f.router.knownRevision() == 3 })
	for range 10 {
		if got := f.call("/safe/", "late"); got.status != http.StatusOK {
			f.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
			f.Check(got.header.Get("Retry-After"), qt.Matches, `(0\.\d+|1|1\.[01]\d*)`)
			return
		}
	}
	f.Fatal("nothing was refused")
}

// After the evacuation of a data centre its servers are presumed cold, although their entries
// do not say so yet; a router whose registration may have ended sends them nothing.
func TestAReturningDataCentreIsPresumedCold(t *testing.T) {
	east := newBackend(t, "i-east", ok)
	c := testConfig(1)
	c.Services[0].ColdRate, c.Services[0].ColdFor = 2, 700*time.Millisecond
	f := startWith(t, c, func(set *settings.Direct, s *testSource) {
		s.now.Routers = map[string]mirror.Registration{set.ID: {Since: 1}}
		s.now.Servers, s.now.Evacuated = []roster.Server{inDataCentre(east, "east")}, []string{"east"}
	})
	f.router.mu.Lock()
	f.router.member = membership{}
	f.router.mu.Unlock()
	f.source.changes <- mirror.Delta{Returned: []string{"east"}, Revision: 2}
	f.waitFor("the return is not known", func() bool { return f.router.knownRevision() == 2 })
	f.Check(f.call("/safe/", "r1").status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(east.runs(), qt.HasLen, 0)
	f.waitFor("the server stays cold", func() bool { return f.call("/safe/", "r2").status == http.StatusOK })
}

// makeMember lets the router use its share of the rate for cold servers at once.
func (f *fixture) makeMember() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	now := bootTime()
	f.router.member = membership{from: now, until: now + time.Minute}
}
