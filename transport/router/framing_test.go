package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rawAnswer writes text unchanged to the connection and closes it.
func rawAnswer(text string) http.HandlerFunc {
	return warm(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
}

const eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// looksComplete sends a request with the protocol version proto on a new connection and reports
// whether the answer is a success that looks complete to the caller.
func (f *fleet) looksComplete(proto, path string) (bool, string) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	qt.Assert(f.t, err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", path, proto, testToken)
	qt.Assert(f.t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, ""
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK, string(body)
}

// Guards against presenting a truncated event stream as complete: the backend server ends the
// stream inside an event, in each kind of framing.
func TestEventStreamTruncatedInsideAnEvent(t *testing.T) {
	t.Parallel()
	const body = "id: 1\ndata: a\n\nid: 2\nda"
	for name, text := range map[string]string{
		"no framing": eventStreamHead + "\r\n" + body,
		"chunks":     eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"a length":   eventStreamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
	} {
		f := newFleet(t)
		f.sidecar("sidecar-1", newBackend(t, rawAnswer(text)).URL)
		f.start()
		for _, path := range []string{plainPath, lookupPath} {
			complete, got := f.looksComplete("HTTP/1.1", path)
			qt.Check(t, complete, qt.IsFalse, qt.Commentf("%s, %s: %q", name, path, got))
		}
	}
}

// Guards against presenting a complete answer as truncated, also where only the end of the
// connection ends it.
func TestCompleteAnswerLooksComplete(t *testing.T) {
	t.Parallel()
	for text, body := range map[string]string{
		eventStreamHead + "\r\nid: 1\ndata: a\n\n":       "id: 1\ndata: a\n\n",
		"HTTP/1.1 200 OK\r\n\r\nplain":                   "plain",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab": "ab",
	} {
		f := newFleet(t)
		f.sidecar("sidecar-1", newBackend(t, rawAnswer(text)).URL)
		f.start()
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			complete, got := f.looksComplete(proto, plainPath)
			qt.Check(t, complete, qt.IsTrue, qt.Commentf("%s: %q", proto, text))
			qt.Check(t, got, qt.Equals, body)
		}
	}
}

// Guards against a truncated answer that looks complete to an HTTP/1.0 caller: without chunked
// encoding only a reset, not an orderly close, shows the truncation.
func TestTruncationIsAResetWithoutChunkedEncoding(t *testing.T) {
	t.Parallel()
	b := newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		complete, got := f.looksComplete(proto, plainPath)
		qt.Check(t, complete, qt.IsFalse, qt.Commentf("%s: %q", proto, got))
	}
}

// Guards against presenting an answer as complete that ended because the backend server crashed:
// without framing, the closed connection looks like the end of the answer.
func TestAnswerEndedByABackendCrashIsNotComplete(t *testing.T) {
	t.Parallel()
	for _, text := range []string{eventStreamHead + "\r\nid: 1\ndata: a\n\n", "HTTP/1.1 200 OK\r\n\r\npla"} {
		var b *backend
		b = newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, text)
			_ = b.Listener.Close()
			_ = conn.Close()
		}))
		f := newFleet(t)
		f.sidecar("sidecar-1", b.URL)
		f.start()
		complete, got := f.looksComplete("HTTP/1.1", plainPath)
		qt.Check(t, complete, qt.IsFalse, qt.Commentf("%q", got))
	}
}

// Guards against a truncated answer that looks complete to an HTTP/1.0 caller when the router
// stops: the kernel (after the process exits) or a panic would close the connection in an orderly
// way, which marks the end of a complete answer.
func TestRouterStopResetsAnAnswerWithoutChunkedEncoding(t *testing.T) {
	t.Parallel()
	started, resume := make(chan struct{}), make(chan struct{})
	b := newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-resume
	}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	defer close(resume)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", plainPath, testToken)
	qt.Assert(t, err, qt.IsNil)
	<-started
	_, err = io.ReadFull(conn, make([]byte, 12))
	qt.Assert(t, err, qt.IsNil)
	f.stopNow()
	f.done <- nil
	_, err = io.ReadAll(conn)
	qt.Check(t, err, qt.IsNotNil)
}
