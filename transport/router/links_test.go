package router_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/settings"
)

// lines answers with n lines and flushes after each one.
func lines(n int, every time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := range n {
			fmt.Fprintf(w, "line %d\n", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(every)
		}
	}
}

func wantLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "line %d\n", i)
	}
	return b.String()
}

// Guards against truncated answers and repeated runs when the links to the
// sidecar are closed again and again while an answer is streamed.
func TestClosedLinksAreResumed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(200, 5*time.Millisecond)))
	f := newFleet(t)
	proxy := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
				proxy.closeConns()
			}
		}
	}()
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.bodyErr, qt.IsNil)
	c.Assert(got.body, qt.Equals, wantLines(200))
	c.Assert(got.status, qt.Equals, http.StatusOK)
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
}

// Guards against failing or repeating a non-idempotent call whose start message
// never reached the sidecar: it is settled as not run and then runs once.
func TestLostStartRunsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(1, 0)))
	f := newFleet(t)
	proxy := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	proxy.dropToTarget.Store(true)
	go func() {
		time.Sleep(200 * time.Millisecond)
		proxy.dropToTarget.Store(false)
		proxy.closeConns()
	}()
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	c.Assert(got.body, qt.Equals, wantLines(1))
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
}

// Guards against running a non-idempotent call twice: when its sidecar becomes
// unreachable, its outcome is unknown, even if another sidecar is free.
func TestLostSidecarLeavesNonIdempotentUnknown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	f := newFleet(t)
	var backends [2]*backend
	var nodes [2]*node
	for i := range backends {
		backends[i] = newBackend(t, nil)
		backends[i].Config.Handler = holdRuns(backends[i], release)
		nodes[i] = f.sidecar(fmt.Sprint("sidecar-", i), backends[i].URL)
	}
	f.start()
	runs := func() int64 { return backends[0].runs.Load() + backends[1].runs.Load() }
	go func() {
		for runs() == 0 {
			time.Sleep(pollInterval)
		}
		at := nodes[backends[1].runs.Load()]
		at.refuse.Store(true)
		at.closeConns()
	}()
	req := f.request(http.MethodPost, plainPath, "{}")
	req.Header.Set("Goldcrest-Deadline", "8s")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(runs(), qt.Equals, int64(1))
	c.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(resp.Header.Get("Goldcrest-Outcome"), qt.Equals, "unknown")
}

// holdRuns counts the runs and answers them once release is closed.
func holdRuns(b *backend, release chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/warm") {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.runs.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "answer")
	})
}

// Guards against failing an idempotent call whose sidecar is lost for good before
// the first byte of the answer: it is retried on another sidecar.
func TestLostSidecarIsReplacedForIdempotent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	release := make(chan struct{})
	b := newBackend(t, nil)
	b.Config.Handler = holdRuns(b, release)
	f := newFleet(t)
	first := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	go func() {
		for b.runs.Load() == before {
			time.Sleep(pollInterval)
		}
		first.refuse.Store(true)
		first.closeConns()
		f.sidecar("sidecar-2", b.URL)
		for b.runs.Load() == before+1 {
			time.Sleep(pollInterval)
		}
		close(release)
	}()
	got, err := f.call(http.MethodPost, lookupPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	c.Assert(got.body, qt.Equals, "answer")
}

// Guards against ending a partially delivered answer cleanly when its sidecar is
// lost, also for an idempotent call.
func TestPartialAnswerNeverEndsCleanly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(300, 10*time.Millisecond)))
	f := newFleet(t)
	proxy := f.sidecar("sidecar-1", b.URL)
	f.start()
	time.AfterFunc(300*time.Millisecond, func() {
		proxy.refuse.Store(true)
		proxy.closeConns()
	})
	got, err := f.call(http.MethodPost, lookupPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.bodyErr, qt.IsNotNil)
	c.Assert(strings.HasPrefix(wantLines(300), got.body), qt.IsTrue)
}

// Guards against runs that go on after their caller has disconnected: the backend
// server sees the cancellation at once.
func TestCallerGoneCancelsTheRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ended := make(chan struct{})
	started := make(chan struct{})
	b := newBackend(t, warm(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL, func(s *settings.Sidecar) { s.Backend.Slots = 1 })
	f.start()
	client := &http.Client{Timeout: 500 * time.Millisecond}
	go func() {
		resp, err := client.Do(f.request(http.MethodPost, lookupPath, "{}"))
		if err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		c.Fatal("the run continues after its caller disconnected")
	}
	got, err := f.call(http.MethodGet, lookupPath+"/warm", "")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusOK)
}

// Guards against waiting forever on a link that carries no data and does not
// close: it is detected, and the answer is resumed on another connection.
func TestSilentLinkIsResumed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(100, 10*time.Millisecond)))
	f := newFleet(t)
	proxy := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	time.AfterFunc(300*time.Millisecond, proxy.dropFromTarget)
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.bodyErr, qt.IsNil)
	c.Assert(got.body, qt.Equals, wantLines(100))
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
}

// Guards against a false not-run: an idempotent call may have run, is queued
// again, and then its deadline passes.
func TestRequeuedAfterLostRunIsNotReportedNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	b := newBackend(t, nil)
	b.Config.Handler = holdRuns(b, release)
	f := newFleet(t)
	proxy := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	go func() {
		for b.runs.Load() == before {
			time.Sleep(pollInterval)
		}
		proxy.refuse.Store(true)
		proxy.closeConns()
	}()
	req := f.request(http.MethodPost, lookupPath, "{}")
	req.Header.Set("Goldcrest-Deadline", "4s")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.Header.Get("Goldcrest-Outcome"), qt.Equals, "unknown")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against runs that occupy a slot forever: a run ends if its router does
// not reconnect within the resume grace time.
func TestOrphanedRunEndsAfterResumeGrace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	started, ended := make(chan struct{}), make(chan time.Time, 1)
	b := newBackend(t, warm(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		ended <- time.Now()
	}))
	f := newFleet(t)
	const grace = 700 * time.Millisecond
	n := f.sidecar("sidecar-1", b.URL, func(s *settings.Sidecar) { s.Backend.ResumeGrace = settings.Duration(grace) })
	f.start()
	go func() { _, _ = f.call(http.MethodPost, plainPath, "{}") }()
	<-started
	n.refuse.Store(true)
	n.closeConns()
	closedAt := time.Now()
	select {
	case at := <-ended:
		c.Assert(at.Sub(closedAt) > grace/2, qt.IsTrue, qt.Commentf("ended after %s", at.Sub(closedAt)))
	case <-time.After(grace + 3*time.Second):
		c.Fatal("the run continues")
	}
}

// Guards against failed calls when pooled connections were closed while they
// were idle.
func TestStaleConnectionsFailNoCall(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(1, 0)))
	f := newFleet(t)
	n := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	const calls = 20
	for range calls {
		n.closeConns()
		got, err := f.call(http.MethodPost, plainPath, "{}")
		c.Assert(err, qt.IsNil)
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	c.Assert(b.runs.Load()-before, qt.Equals, int64(calls))
}
