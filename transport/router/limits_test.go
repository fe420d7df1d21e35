package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
)

// raw sends text unchanged on a new connection and reads the one response; half
// closes the sending side first.
func (e *callerEndpoint) raw(c *quicktest.C, text string, half bool) outcome.Problem {
	conn, err := net.Dial("tcp", e.addr)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	c.Assert(err, quicktest.IsNil)
	if half {
		c.Assert(conn.(*net.TCPConn).CloseWrite(), quicktest.IsNil)
	}
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), quicktest.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, quicktest.IsNil)
	return readProblem(c, resp)
}

const uploadHead = "POST /services/ledger/x HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer t\r\n"

func TestIncompleteUpload(t *testing.T) {
	c := quicktest.New(t)
	e := newCallerEndpoint(c, func(s *settings.Router) { s.Limits.BodyTimeout = settings.Duration(50 * time.Millisecond) })
	for _, body := range []string{"Content-Length: 10\r\n\r\nfive!", "Transfer-Encoding: chunked\r\n\r\n5\r\nfive!\r\n"} {
		p := e.raw(c, uploadHead+body, true)
		c.Check(p.Reason, quicktest.Equals, outcome.ReasonBadRequest, quicktest.Commentf("truncated: %q", body))
		p = e.raw(c, uploadHead+body, false)
		c.Check(p.Reason, quicktest.Equals, outcome.ReasonBodyTimeout, quicktest.Commentf("slow: %q", body))
		c.Check(p.Status, quicktest.Equals, http.StatusRequestTimeout)
	}
	c.Check(e.arrived, quicktest.HasLen, 0)
	c.Check(e.router.bodies.Stats().Used, quicktest.Equals, int64(0))
}

func TestConnectionsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	e := newCallerEndpoint(c, func(s *settings.Router) { s.Limits.Connections = 2 })
	var idle []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", e.addr)
		c.Assert(err, quicktest.IsNil)
		idle = append(idle, conn)
	}
	request := uploadHead + "Content-Length: 0\r\n\r\n"
	p := e.raw(c, request, false)
	c.Check(p.Reason, quicktest.Equals, outcome.ReasonConnections)
	c.Check(p.Outcome, quicktest.Equals, outcome.NotRun)
	c.Check(e.router.metrics.refusedConn.Value(), quicktest.Equals, int64(1))
	c.Assert(idle[0].Close(), quicktest.IsNil)
	for range 100 {
		if p = e.raw(c, request, false); p.Reason == outcome.ReasonQueueFull {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(p.Reason, quicktest.Equals, outcome.ReasonQueueFull)
}

func TestBodyMemoryIsBounded(t *testing.T) {
	c := quicktest.New(t)
	e := newCallerEndpoint(c, func(s *settings.Router) { s.Limits.Bodies = 4 * settings.KiB })
	e.refuse = make(chan struct{})
	body := strings.Repeat("x", 1500)
	done := make(chan outcome.Problem)
	go func() {
		_, p := e.send(c, "POST", "/services/ledger/x", header(), strings.NewReader(body))
		done <- p
	}()
	<-e.arrived
	c.Check(e.router.metrics.bodies.Value(), quicktest.Equals, int64(1500))
	// The team is at its half; another team still has room.
	resp, p := e.send(c, "POST", "/services/ledger/x", header(), strings.NewReader(body))
	c.Check(p.Reason, quicktest.Equals, outcome.ReasonBodiesFull)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get("Retry-After"), quicktest.Equals, "1")
	close(e.refuse)
	_, p = e.send(c, "POST", "/services/ledger/x", http.Header{"Authorization": {"Bearer o"}}, strings.NewReader(body))
	c.Check(p.Reason, quicktest.Equals, outcome.ReasonQueueFull)
	c.Check((<-done).Reason, quicktest.Equals, outcome.ReasonQueueFull)
	c.Check(e.router.metrics.bodies.Value(), quicktest.Equals, int64(0))
}

// Guards against a caller that stops reading and thereby blocks the handler
// forever.
func TestCallerThatStopsReading(t *testing.T) {
	c := quicktest.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	ended := make(chan error, 1)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		p := newDeadlineWriter(w, 100*time.Millisecond)
		for {
			if _, err := p.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	})}
	go func() { _ = srv.Serve(lis) }()
	defer srv.Close()
	conn, err := net.Dial("tcp", lis.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: r\r\n\r\n")
	c.Assert(err, quicktest.IsNil)
	select {
	case err := <-ended:
		c.Check(isTimeout(err), quicktest.IsTrue)
	case <-time.After(10 * time.Second):
		c.Fatal("the handler is still writing")
	}
}
