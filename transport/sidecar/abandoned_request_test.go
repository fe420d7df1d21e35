package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/relay"
)

// Guards against a request that starts at the backend server after the sidecar
// has abandoned it: the network delays the request, and the sidecar closes the
// connection before the network delivers it.
func TestAbandonedRequestDoesNotStartLater(t *testing.T) {
	var started atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { started.Add(1) }))
	defer server.Close()
	link, err := relay.Listen("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer link.Close()
	client := newBackendClient(false)
	resp, err := client.Get("http://" + link.Addr())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	link.Hold()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+link.Addr(), strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Do(req)
	qt.Assert(t, err, qt.IsNotNil)
	time.Sleep(20 * time.Millisecond)
	link.Heal()
	time.Sleep(300 * time.Millisecond)
	qt.Check(t, started.Load(), qt.Equals, int64(1))
}
