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

// sendsRaw answers with the bytes as they are and closes the connection.
func sendsRaw(text string) http.HandlerFunc {
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

// looksWhole sends a request over the protocol on a connection of its own, and reports whether
// its answer is a success that looks whole.
func (f *fleet) looksWhole(proto, path string) (bool, string) {
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

// A stream that its server ended inside an event reached callers of routers with sidecars as
// whole, in each framing.
func TestAStreamThatEndsInsideAnEventIsCutBySidecars(t *testing.T) {
	t.Parallel()
	const body = "id: 1\ndata: a\n\nid: 2\nda"
	for name, text := range map[string]string{
		"no framing": eventStreamHead + "\r\n" + body,
		"chunks":     eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"a length":   eventStreamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
	} {
		f := newFleet(t)
		f.sidecar("sidecar-1", newBackend(t, sendsRaw(text)).URL)
		f.start()
		for _, path := range []string{plainPath, lookupPath} {
			whole, got := f.looksWhole("HTTP/1.1", path)
			qt.Check(t, whole, qt.IsFalse, qt.Commentf("%s, %s: %q", name, path, got))
		}
	}
}

// What comes whole without framing stays whole with sidecars.
func TestWhatIsWholeLooksWholeWithSidecars(t *testing.T) {
	t.Parallel()
	for text, body := range map[string]string{
		eventStreamHead + "\r\nid: 1\ndata: a\n\n":       "id: 1\ndata: a\n\n",
		"HTTP/1.1 200 OK\r\n\r\nplain":                   "plain",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab": "ab",
	} {
		f := newFleet(t)
		f.sidecar("sidecar-1", newBackend(t, sendsRaw(text)).URL)
		f.start()
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			whole, got := f.looksWhole(proto, plainPath)
			qt.Check(t, whole, qt.IsTrue, qt.Commentf("%s: %q", proto, text))
			qt.Check(t, got, qt.Equals, body)
		}
	}
}

// A caller of a router with sidecars that gets no chunks read each cut as the end of a whole
// answer.
func TestACutIsAResetForACallerWithoutChunksOfSidecars(t *testing.T) {
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
		whole, got := f.looksWhole(proto, plainPath)
		qt.Check(t, whole, qt.IsFalse, qt.Commentf("%s: %q", proto, got))
	}
}

// A server that crashed closed its connection in an answer without framing, and callers of routers
// with sidecars took it for whole.
func TestAnAnswerThatACrashClosedIsNotWholeWithSidecars(t *testing.T) {
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
		whole, got := f.looksWhole("HTTP/1.1", plainPath)
		qt.Check(t, whole, qt.IsFalse, qt.Commentf("%q", got))
	}
}

// The kernel of a router with sidecars that is gone, or a panic, would close a caller's
// connection in good order: on HTTP/1.0 that is the end of a whole answer.
func TestAnAnswerUnderWayEndsByAResetForACallerWithoutChunks(t *testing.T) {
	t.Parallel()
	begun, goOn := make(chan struct{}), make(chan struct{})
	b := newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-goOn
	}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	defer close(goOn)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", plainPath, testToken)
	qt.Assert(t, err, qt.IsNil)
	<-begun
	_, err = io.ReadFull(conn, make([]byte, 12))
	qt.Assert(t, err, qt.IsNil)
	f.stopNow()
	f.done <- nil
	_, err = io.ReadAll(conn)
	qt.Check(t, err, qt.IsNotNil)
}
