package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/protocol/settings"
)

// pausedBackend is a backend server that does not answer requests until the test lets it.
type pausedBackend struct {
	server  *backendServer
	running atomic.Int64
	release chan struct{}
	replies chan reply
}

// startPaused runs a router with the given maximum number of callers' connections and a
// paused server.
func startPaused(t *testing.T, places int) (*fixture, *pausedBackend) {
	h := &pausedBackend{release: make(chan struct{}), replies: make(chan reply, places)}
	h.server = newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		if req.URL.Path == "/safe/held" {
			h.running.Add(1)
			<-h.release
		}
		return ok(w, req)
	})
	f := startWith(t, testConfig(1), func(set *settings.Direct, _ *testSource) { set.Callers.Connections = places }, h.server)
	return f, h
}

// fillConnections occupies every connection with a pending request.
func (h *pausedBackend) fillConnections(f *fixture, places int) {
	for i := range places {
		go func() { h.replies <- f.call("/safe/held", fmt.Sprint("held", i)) }()
	}
	for h.running.Load() < int64(places) {
		time.Sleep(time.Millisecond)
	}
}

// answerAll lets the server answer the pending requests.
func (h *pausedBackend) answerAll(f *fixture, places int) {
	close(h.release)
	for range places {
		f.Check((<-h.replies).status, qt.Equals, http.StatusOK)
	}
}

// An answer on a crowded router announces a short idle timeout; the next one, which announces
// none, revokes it, or the connection ends.
func TestAnAnswerRevokesAShortIdleTimeout(t *testing.T) {
	f := startWith(t, testConfig(1), func(set *settings.Direct, _ *testSource) { set.Callers.Connections = 8 }, newBackend(t, "i-1", ok))
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	f.Assert(err, qt.IsNil)
	defer conn.Close()
	answers := bufio.NewReader(conn)
	send := func() (keepAlive string) {
		_, err := fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r\r\nContent-Length: 0\r\n\r\n", testID)
		f.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(answers, nil)
		f.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.Header.Get("Keep-Alive")
	}
	others := make([]net.Conn, 3)
	for i := range others {
		others[i], err = net.Dial("tcp", f.set.Listen.Callers)
		f.Assert(err, qt.IsNil)
	}
	f.waitFor("the connections were not accepted", func() bool { return f.router.callers.Open() == 1+len(others) })
	f.Check(send(), qt.Equals, "timeout=2")
	f.Check(f.router.callers.ShortLived(), qt.Equals, 1)
	for _, other := range others {
		_ = other.Close()
	}
	f.waitFor("the connections did not end", func() bool { return f.router.callers.Open() == 1 })
	f.Check(send(), qt.Equals, "")
	f.Check(f.router.callers.ShortLived(), qt.Equals, 0)
	// A refusal is an answer, too.
	f.source.changes <- mirror.Delta{Removed: []string{"i-1"}, Revision: 2}
	f.waitFor("the server is still known", func() bool { return f.router.knownRevision() == 2 })
	f.Check(send(), qt.Equals, "")
	f.Check(f.router.callers.ShortLived(), qt.Equals, 0)
}

// Callers who occupy every connection with idle ones, or with ones on which they never sent
// anything, keep no new caller out; a router whose connections are all in use reports that it
// is not ready.
func TestAFullRouterClosesIdleConnectionsOrIsNotReady(t *testing.T) {
	const places = 8
	f, h := startPaused(t, places)
	silent := func() {
		for range places {
			conn, err := net.Dial("tcp", f.set.Listen.Callers)
			f.Assert(err, qt.IsNil)
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	silent()
	began := time.Now()
	f.Check(f.call("/safe/", "r1").status, qt.Equals, http.StatusOK)
	f.Check(time.Since(began) < time.Second, qt.IsTrue)
	f.waitReady()

	h.fillConnections(f, places)
	f.Check(f.ready(), qt.Equals, http.StatusServiceUnavailable)
	h.answerAll(f, places)
	// The callers' connections end shortly after their answers.
	f.waitReady()
}

// A caller that closes its side of the connection counts as disconnected; it must not read an
// empty success for a request whose run was cancelled.
func TestACallerThatClosesItsSideGetsNoEmptySuccess(t *testing.T) {
	b := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return ok(w, req)
	})
	f := start(t, testConfig(1), b)
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	f.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r\r\nContent-Length: 0\r\n\r\n", testID)
	f.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	f.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	answer, _ := io.ReadAll(conn)
	f.Check(string(answer), qt.Equals, "")
}

// A caller waits for its connection to be accepted and disconnects meanwhile: its request is
// read once a connection is free and must not be sent on, even though the router is not late.
// It happened when a flood occupied every connection of a small router.
func TestACallerThatDisconnectsBeforeAcceptIsNotServed(t *testing.T) {
	const places = 4
	f, h := startPaused(t, places)
	h.fillConnections(f, places)
	const left = 50
	for i := range left {
		conn, err := net.Dial("tcp", f.set.Listen.Callers)
		f.Assert(err, qt.IsNil)
		_, err = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: left%d\r\nContent-Length: 0\r\n\r\n", testID, i)
		f.Assert(err, qt.IsNil)
		f.Assert(conn.Close(), qt.IsNil)
	}
	h.answerAll(f, places)
	f.Check(f.call("/safe/", "after").status, qt.Equals, http.StatusOK)
	for _, id := range h.server.runs() {
		f.Check(strings.HasPrefix(id, "left"), qt.IsFalse, qt.Commentf(id))
	}
}
