package router_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/relay"
)

// Guards against running a request after its caller has disconnected: the network between the
// router and the sidecar delays the start message, and the cancellation arrives behind it.
func TestARequestThatWasGivenUpOnTheWayToASidecarDoesNotRun(t *testing.T) {
	t.Parallel()
	b := newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ran") }))
	f := newFleet(t)
	n := f.sidecar("sidecar-1", b.URL)
	link, err := relay.Listen("127.0.0.1:0", n.addr())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(link.Close)
	f.store.mu.Lock()
	f.store.instances[0].Address = link.Addr()
	f.store.mu.Unlock()
	f.start()
	before := b.runs.Load()
	for range 10 {
		link.Hold()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err = send(f.request(http.MethodPost, plainPath, "{}").WithContext(ctx))
		cancel()
		qt.Check(t, err, qt.IsNotNil)
		time.Sleep(50 * time.Millisecond)
		link.Heal()
		time.Sleep(150 * time.Millisecond)
	}
	qt.Check(t, b.runs.Load()-before, qt.Equals, int64(0))
}
