package direct

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/settings"
)

// lineBuffer keeps the lines that a router logs.
type lineBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns all lines.
func (b *lineBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// incarnationOf returns the entry of a backend server with its start time.
func incarnationOf(b *backendServer, id string, incarnation roster.Incarnation) roster.Server {
	return roster.Server{ID: id, Incarnation: incarnation, Address: b.address, Service: "app", Slots: 8}
}

// waitFor waits until the condition holds, or fails.
func (f *fixture) waitFor(what string, holds func() bool) {
	f.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.Fatal(what)
}

func (f *fixture) knows(id string, incarnation roster.Incarnation) bool {
	s, known := f.router.server(id)
	return known && s.Incarnation == incarnation
}

// A server that restarts under its id, at another address, receives the requests that the
// earlier process received, also if that one had announced its shutdown; late messages about
// the earlier one have no effect, whoever sends them.
func TestARestartedServerIsANewIncarnation(t *testing.T) {
	before, after := newBackend(t, "i-1", ok), newBackend(t, "i-1", ok)
	f := startWith(t, testConfig(1), func(_ *settings.Direct, s *testSource) {
		s.now.Servers = []roster.Server{incarnationOf(before, "i-1", 100)}
	})
	f.Check(f.call("/safe/", "r1").status, qt.Equals, http.StatusOK)
	leaving := incarnationOf(before, "i-1", 100)
	leaving.Draining = true
	f.source.changes <- mirror.Delta{Servers: []roster.Server{leaving}, Revision: 2}
	f.source.changes <- mirror.Delta{Servers: []roster.Server{incarnationOf(after, "i-1", 200)}, Revision: 3}
	f.waitFor("the later process is not known", func() bool { return f.knows("i-1", 200) })
	f.Check(f.call("/safe/", "r2").status, qt.Equals, http.StatusOK)
	f.source.changes <- mirror.Delta{Servers: []roster.Server{leaving}, Revision: 4}
	f.waitFor("the change did not arrive", func() bool { return f.router.knownRevision() == 4 })
	f.router.replace(mirror.Snapshot{Servers: []roster.Server{leaving}, Routers: map[string]mirror.Registration{}, Revision: 5})
	f.Check(f.call("/safe/", "r3").status, qt.Equals, http.StatusOK)
	f.Check(before.runs(), qt.DeepEquals, []string{"r1"})
	f.Check(after.runs(), qt.DeepEquals, []string{"r2", "r3"})
}

// An entry that another writer corrupted ends the use of its server at once, also while the
// store is unavailable; runs there end regularly, other servers are not affected, the event is
// logged once, and the server is used again with its next valid entry.
func TestAnInvalidEntryEndsTheUseOfItsServerOnly(t *testing.T) {
	slow := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return ok(w, req)
	})
	other := newBackend(t, "i-2", ok)
	lines := &lineBuffer{}
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(lines), func(_ *settings.Direct, s *testSource) {
		s.now.Servers = []roster.Server{incarnationOf(slow, "i-1", 100)}
	})
	running := make(chan reply, 1)
	go func() { running <- f.call("/once/", "running") }()
	f.waitFor("the request does not run", func() bool { return len(slow.runs()) == 1 })
	spoilt := mirror.InvalidEntry{Key: "key/i-1", Server: "i-1", Revision: 2, Reason: "no JSON"}
	f.source.changes <- mirror.Delta{Servers: []roster.Server{incarnationOf(other, "i-2", 100)}, Invalid: []mirror.InvalidEntry{spoilt}, Revision: 2}
	f.waitFor("the server is still used", func() bool { _, known := f.router.server("i-1"); return !known })
	for n := range 4 {
		f.Check(f.call("/safe/", fmt.Sprint("r", n)).status, qt.Equals, http.StatusOK)
	}
	f.Check((<-running).status, qt.Equals, http.StatusOK)
	f.Check(other.runs(), qt.HasLen, 4)
	// Reading the same revision again has no effect.
	f.router.replace(mirror.Snapshot{Servers: []roster.Server{incarnationOf(other, "i-2", 100)}, Invalid: []mirror.InvalidEntry{spoilt}, Routers: map[string]mirror.Registration{}, Revision: 3})
	f.Check(f.router.metrics.invalid.Value(), qt.Equals, int64(1))
	f.Check(strings.Count(lines.String(), "event=entry_invalid key=key/i-1 revision=2"), qt.Equals, 1)
	// Routers that ask this one are informed of it, too.
	answer, err := f.router.changesFor(changesRequest{})
	f.Assert(err, qt.IsNil)
	f.Check(answer.Whole.Invalid, qt.DeepEquals, []mirror.InvalidEntry{spoilt})
	f.source.changes <- mirror.Delta{Servers: []roster.Server{incarnationOf(slow, "i-1", 100)}, Removed: []string{"i-2"}, Revision: 4}
	f.waitFor("the server is not back", func() bool { return f.knows("i-1", 100) })
	f.Check(f.call("/safe/", "last").status, qt.Equals, http.StatusOK)
}
