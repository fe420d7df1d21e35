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

// An answer that the backend server cuts short never looks complete, whether
// its length was told or not.
func TestAnswerCutByTheBackendServer(t *testing.T) {
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
		c.Assert(err != nil || got.cut != nil, qt.IsTrue, qt.Commentf("%s: %+v", path, got))
	}
	before := b.runs.Load()
	got, err := f.call(http.MethodPost, plainPath+"/sized", "{}")
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
	c.Assert(err != nil || got.cut != nil || got.outcome == "unknown", qt.IsTrue, qt.Commentf("%+v", got))
}

// A call that the backend server breaks off before an answer is unknown if it
// may not be repeated, and is repeated within a bound if it may.
func TestCallBrokenOffByTheBackendServer(t *testing.T) {
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

// A backend server that can't be reached is proven not to have run the call.
func TestUnreachableBackendServerIsNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(func(http.ResponseWriter, *http.Request) {}))
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

// An answer larger than the sidecar's window is whole, over cut links too, and
// a slow caller holds the backend server back.
func TestLargeAnswerIsHeldBackAndWhole(t *testing.T) {
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
	relay := f.sidecar("sidecar-1", b.URL)
	f.start()
	resp, err := http.DefaultClient.Do(f.request(http.MethodPost, plainPath, "{}"))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	time.Sleep(500 * time.Millisecond)
	held := wrote.Load()
	c.Assert(held < size, qt.IsTrue, qt.Commentf("the backend server wrote %d bytes", held))
	time.AfterFunc(20*time.Millisecond, relay.cut)
	n, err := io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(size))
	c.Logf("held back at %s", fmt.Sprint(held>>20, " MiB"))
}

// In HTTP/1.0 an answer may end with its connection; one that was cut short
// ends with a reset instead.
func TestCutAnswerResetsAnOldCaller(t *testing.T) {
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

// A run that passes its deadline is ended, and is not called not-run.
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
