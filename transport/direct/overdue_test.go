package direct

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/state/eventstream"
	"goldcrestport/transport/callerconn"
)

// Guards against requests that are sent on after their deadline: a request's bytes wait in the
// socket buffer of a router that reads nothing for a time, and the deadline was counted from
// the reading.
func TestARequestUnreadPastItsDeadlineIsNotSent(t *testing.T) {
	const places = 2
	f, h := startPaused(t, places)
	h.fillConnections(f, places)
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	f.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: late\r\n%s: 300\r\nContent-Length: 0\r\n\r\n", testID, testLeft)
	f.Assert(err, qt.IsNil)
	time.Sleep(600 * time.Millisecond)
	h.answerAll(f, places)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.Assert(err, qt.IsNil)
	f.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	for _, id := range h.server.runs() {
		f.Check(id, qt.Not(qt.Equals), "late")
	}
}

// beforeSendDialect is a dialect that calls a function at the last step before the send.
type beforeSendDialect struct {
	testDialect
	then func()
}

func (d beforeSendDialect) Outgoing(from http.Header, call Call) http.Header {
	d.then()
	return d.testDialect.Outgoing(from, call)
}

// Guards against requests that are sent on after their callers disconnected: the caller was
// last checked some time before the first byte to the server.
func TestACallerThatDisconnectsBeforeTheFirstByteIsNotServed(t *testing.T) {
	for _, tc := range []struct {
		leaves bool
		want   int
	}{{true, 0}, {false, 1}} {
		server := newBackend(t, "i-1", ok)
		r := currentRouter(server)
		caller, accepted := connectionPair(t)
		r.dialect = beforeSendDialect{then: func() {
			if tc.leaves {
				_ = caller.Close()
				time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
			}
		}}
		req := httptest.NewRequest(http.MethodPost, "/safe/", http.NoBody)
		req = req.WithContext(callerconn.WithConn(req.Context(), accepted))
		c := &call{
			r: r, w: httptest.NewRecorder(), req: req, meta: Meta{ID: "a1"}, table: r.table.Load(), service: "app",
			received: time.Now(), deadline: time.Now().Add(3 * time.Second),
		}
		c.route = c.table.Route("h", "/safe/")
		decision := c.placeRequest()
		qt.Assert(t, decision.Verdict, qt.Equals, admission.Send)
		next, _ := c.attempt(req.Context(), decision.Run, &eventstream.Follower{})
		qt.Check(t, next, qt.Equals, done)
		qt.Check(t, server.runs(), qt.HasLen, tc.want)
	}
}
