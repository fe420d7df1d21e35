package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/routing"
)

// largeBodies returns a configuration that leaves the limit of a body to the settings and gives it time to come.
func largeBodies() *routing.Config {
	cfg := testConfig(1)
	cfg.Limits.BodyBytes = 0
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = 15 * time.Second
	}
	return cfg
}

// Guards against connections that stall because the kernel drops what a caller sends: bodies of all sizes come one
// after the other on one kept connection, and each is served.
func TestBodiesOfAllSizesOnOneConnection(t *testing.T) {
	f := startWith(t, largeBodies(), func(set *settings.Direct, _ *testSource) { set.Callers.Body = 8 * settings.MiB }, newBackend(t, "i-1", ok))
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	f.Assert(err, qt.IsNil)
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for i := range 60 {
		size := []int{10, 4 << 20, 17 << 10, 64 << 10, 1 << 20, 65 << 10}[i%6]
		f.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
		_, err := fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r%d\r\n%s: 15000\r\nContent-Length: %d\r\n\r\n%s", testID, i, testLeft, size, strings.Repeat("x", size))
		f.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(answers, nil)
		f.Assert(err, qt.IsNil, qt.Commentf("body %d of %d bytes", i, size))
		_, _ = io.Copy(io.Discard, resp.Body)
		f.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("body %d of %d bytes", i, size))
	}
	f.Check(f.router.bodies.Stats().Used, qt.Equals, int64(0))
}

// A slow caller within the limits is served in calm: 4 MB in 8 s, with a pause of some seconds.
func TestASlowBodyIsServedInCalm(t *testing.T) {
	f := startWith(t, largeBodies(), func(set *settings.Direct, _ *testSource) {
		set.Callers.Body = 8 * settings.MiB
		set.Memory = 64 * settings.MiB
	}, newBackend(t, "i-1", ok))
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	f.Assert(err, qt.IsNil)
	defer conn.Close()
	const size, pieces, pause = 4_000_000, 40, 100 * time.Millisecond
	_, err = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r\r\n%s: 15000\r\nContent-Length: %d\r\n\r\n", testID, testLeft, size)
	f.Assert(err, qt.IsNil)
	for i := range pieces {
		_, err := conn.Write(make([]byte, size/pieces))
		f.Assert(err, qt.IsNil)
		time.Sleep(pause)
		if i == pieces/2 {
			time.Sleep(4 * time.Second)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.Assert(err, qt.IsNil)
	f.Check(resp.StatusCode, qt.Equals, http.StatusOK)
}

// A body whose declared length cannot be had is refused at its head: the refusal is true, says when to come back, and
// is seen by a caller who sends all of its body before it reads. Small bodies are served meanwhile.
func TestADeclaredLengthThatCannotBeHadIsRefusedAtOnce(t *testing.T) {
	const size = 4 << 20
	b := newBackend(t, "i-1", ok)
	f := startWith(t, largeBodies(), func(set *settings.Direct, _ *testSource) {
		set.Callers.Body = 4 * settings.MiB
		set.Memory = 24 * settings.MiB
	}, b)
	send := func(id string, sent int) net.Conn {
		conn, err := net.Dial("tcp", f.set.Listen.Callers)
		f.Assert(err, qt.IsNil)
		f.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 15000\r\nContent-Length: %d\r\n\r\n%s", testID, id, testLeft, size, strings.Repeat("x", sent))
		f.Assert(err, qt.IsNil)
		return conn
	}
	for i := range 8 {
		send(fmt.Sprint("stopped", i), 3<<19)
	}
	conn := send("late", 0)
	const pieces = 8
	for range pieces {
		_, err := conn.Write(make([]byte, size/pieces))
		f.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.Assert(err, qt.IsNil)
	f.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	f.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.NotRun))
	f.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	body, err := io.ReadAll(resp.Body)
	f.Check(err, qt.IsNil)
	f.Check(string(body), qt.Contains, string(outcome.ReasonBodiesFull))
	f.Check(f.call("/safe/", "small").status, qt.Equals, http.StatusOK)
	f.Check(b.runs(), qt.DeepEquals, []string{"small"})
}

// The memory for bodies gets less while many connections are open, and always suffices for some of the greatest.
func TestBodyBudget(t *testing.T) {
	const mib = 1 << 20
	qt.Check(t, bodyBudget(100*mib, 0, mib), qt.Equals, int64(55*mib))
	qt.Check(t, bodyBudget(100*mib, 1500, mib) < 20*mib, qt.IsTrue)
	qt.Check(t, bodyBudget(100*mib, 10_000, 4*mib), qt.Equals, int64(8*mib))
}
