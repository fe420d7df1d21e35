package router_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against presenting an answer that the backend server truncated as
// complete, with or without a declared length.
func TestAnswerTruncatedByTheBackendServer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/sized") {
			w.Header().Set("Content-Length", "1000")
		}
		_, _ = io.WriteString(w, "a part")
		if strings.HasSuffix(r.URL.Path, "/flushed") {
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	for _, path := range []string{plainPath + "/flushed", lookupPath + "/flushed"} {
		got, err := f.call(http.MethodPost, path, "{}")
		c.Assert(err != nil || got.bodyErr != nil, qt.IsTrue, qt.Commentf("%s: %+v", path, got))
	}
	before := b.runs.Load()
	got, err := f.call(http.MethodPost, plainPath+"/sized", "{}")
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
	c.Assert(err != nil || got.bodyErr != nil || got.outcome == "unknown", qt.IsTrue, qt.Commentf("%+v", got))
}

// Guards against repeating a non-idempotent call, and against repeating an
// idempotent one without limit, when the backend server closes the connection
// before it answers. Both end with an unknown outcome.
func TestCallAbortedByTheBackendServer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	for path, runs := range map[string]int64{plainPath: 1, lookupPath: 3} {
		before := b.runs.Load()
		got, err := f.call(http.MethodPost, path, "{}")
		c.Assert(err, qt.IsNil)
		c.Assert(got.status, qt.Equals, http.StatusBadGateway)
		c.Assert(got.outcome, qt.Equals, "unknown")
		c.Assert(b.runs.Load()-before, qt.Equals, runs, qt.Commentf(path))
	}
}

// Guards against an unknown outcome where not-run is certain: the backend server
// cannot be reached.
func TestUnreachableBackendServerIsNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackendAt(t, unsharedAddress, warm(func(http.ResponseWriter, *http.Request) {}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	b.Close()
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", got.body))
	c.Assert(got.outcome, qt.Equals, "not-run")
	c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Guards against truncation of an answer larger than the sidecar's window, also
// when links are closed, and against missing backpressure: a slow caller slows
// the backend server down.
func TestLargeAnswerIsCompleteWithBackpressure(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const size = 48 << 20
	var wrote atomic.Int64
	b := newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) {
		part := []byte(strings.Repeat("0123456789abcdef", 4096))
		for wrote.Load() < size {
			n, err := w.Write(part)
			if err != nil {
				return
			}
			wrote.Add(int64(n))
		}
	}))
	f := newFleet(t)
	proxy := f.sidecar("sidecar-1", b.URL)
	f.start()
	resp, err := http.DefaultClient.Do(f.request(http.MethodPost, plainPath, "{}"))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	time.Sleep(500 * time.Millisecond)
	writtenUnread := wrote.Load()
	c.Assert(writtenUnread < size, qt.IsTrue, qt.Commentf("the backend server wrote %d bytes", writtenUnread))
	time.AfterFunc(20*time.Millisecond, proxy.closeConns)
	n, err := io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(size))
	c.Logf("backpressure after %s", fmt.Sprint(writtenUnread>>20, " MiB"))
}

// Guards against a truncated answer that looks complete to an HTTP/1.0 caller,
// for whom the close of the connection may end an answer: it ends with a reset.
func TestTruncatedAnswerResetsHTTP10Caller(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", plainPath, testToken)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(conn)
	c.Assert(string(got), qt.Contains, "a part")
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}

// Guards against runs that go on after their deadline, and against reporting
// them as not-run.
func TestDeadlineEndsARun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	req := f.request(http.MethodPost, lookupPath, "{}")
	req.Header.Set("Goldcrest-Deadline", "300ms")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(resp.Header.Get("Goldcrest-Outcome"), qt.Equals, "unknown")
}
