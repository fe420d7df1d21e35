package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/staleness"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/eventstream"
	"goldcrestport/transport/backend"
	"goldcrestport/transport/callerconn"
)

// connectionPair returns both ends of a connection, the caller's first.
func connectionPair(t *testing.T) (caller, accepted net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	caller, err = net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err = l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	return caller, accepted
}

// unservedRouter returns a router that knows the server but does not run, so that its lateness and
// the age of its information stay as they are set.
func unservedRouter(server *backendServer) *Router {
	cfg := Config{Admission: admission.DefaultConfig(), Roster: roster.DefaultConfig(), Backend: backend.DefaultConfig(), Staleness: staleness.DefaultConfig(), Freshness: 5 * time.Second}
	r := New(settings.DefaultDirect(), cfg, nil, testDialect{}, log.NewNopLogger())
	r.adopt(testConfig(1))
	r.replace(mirror.Snapshot{Config: testConfig(1), Servers: servers(server), Revision: 1})
	return r
}

// currentRouter returns an unserved router whose information about draining servers is current.
func currentRouter(server *backendServer) *Router {
	r := unservedRouter(server)
	r.fresh.Confirm(bootTime())
	return r
}

// sendBy sends a request through a router whose information about draining servers has the
// given age.
func sendBy(r *Router, age time.Duration) *httptest.ResponseRecorder {
	r.fresh.Confirm(bootTime() - age)
	req := httptest.NewRequest(http.MethodPost, "/safe/", http.NoBody)
	w := httptest.NewRecorder()
	c := &call{
		r: r, w: w, req: req, meta: Meta{ID: "a1"}, table: r.table.Load(), service: "app",
		received: time.Now(), deadline: time.Now().Add(3 * time.Second),
	}
	c.route = c.table.Route("h", "/safe/")
	c.dispatch(req.Context())
	return w
}

// A flood makes a small router read the other routers' messages three seconds late while
// servers are replaced one after the other. On one site requests were sent to servers that had
// announced their shutdown 3.5 s before. A router that is not late continues through an outage
// of the store.
func TestASaturatedRouterThatMissesChangesSendsNothing(t *testing.T) {
	for _, tc := range []struct {
		saturated, away bool
		age             time.Duration
		want            int
	}{
		{true, true, 3 * time.Second, 0}, {true, false, 3 * time.Second, 0}, {true, false, time.Second, 1},
		{false, true, 3 * time.Second, 1}, {false, false, 3 * time.Second, 0},
	} {
		server := newBackend(t, "i-1", ok)
		r := unservedRouter(server)
		if tc.away {
			r.roster.StoreLost()
		}
		r.load.saturated.Store(tc.saturated)
		w := sendBy(r, tc.age)
		qt.Check(t, server.runs(), qt.HasLen, tc.want, qt.Commentf("%+v", tc))
		if tc.want == 0 {
			qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
}

// A flooded router reads the store's answer after the call's timeout, while a server shuts
// down and its entry is removed. On one site the router took its own timeout for an outage, in
// which entries lapse, and sent to the server for four seconds more. A timeout of a router
// that is not late does count as an outage.
func TestASaturatedRoutersTimeoutIsNoOutage(t *testing.T) {
	for _, saturated := range []bool{true, false} {
		r := unservedRouter(newBackend(t, "i-1", ok))
		r.load.saturated.Store(saturated)
		f := &follower{r: r}
		f.failed(context.Background(), fmt.Errorf("GET: %w", context.DeadlineExceeded))
		r.replace(mirror.Snapshot{Config: testConfig(1), Revision: 2})
		_, known := r.server("i-1")
		qt.Check(t, known, qt.Equals, !saturated)
	}
}

// A flooded router takes half a second between the first check of a caller and the send; the
// caller gave up meanwhile, after its request had waited unread for seconds. On one site nine
// requests were sent half a second after their callers had disconnected.
func TestALateRouterChecksTheCallerBeforeItSends(t *testing.T) {
	for _, tc := range []struct {
		left bool
		want int
	}{{true, 0}, {false, 1}} {
		server := newBackend(t, "i-1", ok)
		r := currentRouter(server)
		r.load.meanLateness.Store(int64(2 * disconnectCheckLateness))
		caller, accepted := connectionPair(t)
		if tc.left {
			qt.Assert(t, caller.Close(), qt.IsNil)
			time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
		}
		req := httptest.NewRequest(http.MethodPost, "/safe/", http.NoBody)
		req = req.WithContext(callerconn.WithConn(req.Context(), accepted))
		c := &call{
			r: r, w: httptest.NewRecorder(), req: req, meta: Meta{ID: "a1"}, table: r.table.Load(), service: "app",
			received: time.Now(), deadline: time.Now().Add(3 * time.Second),
		}
		c.route = c.table.Route("h", "/safe/")
		decision := c.placeRequest()
		qt.Assert(t, decision.Verdict, qt.Equals, admission.Send)
		next, err := c.attempt(req.Context(), decision.Run, &eventstream.Follower{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, next, qt.Equals, done)
		qt.Check(t, server.runs(), qt.HasLen, tc.want)
	}
}
