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

// lines is an answer in many flushed parts.
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

// Links that are cut again and again while an answer streams leave it whole,
// from one run.
func TestCutLinksAreResumed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(200, 5*time.Millisecond)))
	f := newFleet(t)
	relay := f.sidecar("sidecar-1", b.URL)
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
				relay.cut()
			}
		}
	}()
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.cut, qt.IsNil)
	c.Assert(got.body, qt.Equals, wantLines(200))
	c.Assert(got.status, qt.Equals, http.StatusOK)
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
}

// A start that never reached the sidecar is settled as not run and runs once
// after that, though the call is not idempotent.
func TestLostStartRunsOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(1, 0)))
	f := newFleet(t)
	relay := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	relay.deaf.Store(true)
	go func() {
		time.Sleep(200 * time.Millisecond)
		relay.deaf.Store(false)
		relay.cut()
	}()
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	c.Assert(got.body, qt.Equals, wantLines(1))
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
}

// A sidecar that can't be reached any more leaves a non-idempotent call
// unknown; it is not run a second time, though another sidecar is free.
func TestLostSidecarLeavesNonIdempotentUnknown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	held := make(chan struct{})
	defer close(held)
	f := newFleet(t)
	var backends [2]*backend
	var nodes [2]*node
	for i := range backends {
		backends[i] = newBackend(t, nil)
		backends[i].Config.Handler = holdFirst(backends[i], held)
		nodes[i] = f.sidecar(fmt.Sprint("sidecar-", i), backends[i].URL)
	}
	f.start()
	runs := func() int64 { return backends[0].runs.Load() + backends[1].runs.Load() }
	go func() {
		for runs() == 0 {
			time.Sleep(testBackoff)
		}
		at := nodes[backends[1].runs.Load()]
		at.refuse.Store(true)
		at.cut()
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

// holdFirst counts and answers, but not before held is closed.
func holdFirst(b *backend, held chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/warm") {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.runs.Add(1)
		select {
		case <-held:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "answer")
	})
}

// A sidecar that is lost for good before any byte came is replaced by another
// one for an idempotent call.
func TestLostSidecarIsReplacedForIdempotent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	held := make(chan struct{})
	b := newBackend(t, nil)
	b.Config.Handler = holdFirst(b, held)
	f := newFleet(t)
	first := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	go func() {
		for b.runs.Load() == before {
			time.Sleep(testBackoff)
		}
		first.refuse.Store(true)
		first.cut()
		f.sidecar("sidecar-2", b.URL)
		for b.runs.Load() == before+1 {
			time.Sleep(testBackoff)
		}
		close(held)
	}()
	got, err := f.call(http.MethodPost, lookupPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	c.Assert(got.body, qt.Equals, "answer")
}

// An answer of which a part was delivered never ends cleanly when its sidecar
// is lost, idempotent or not.
func TestDeliveredPartIsNeverEndedCleanly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(300, 10*time.Millisecond)))
	f := newFleet(t)
	relay := f.sidecar("sidecar-1", b.URL)
	f.start()
	time.AfterFunc(300*time.Millisecond, func() {
		relay.refuse.Store(true)
		relay.cut()
	})
	got, err := f.call(http.MethodPost, lookupPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.cut, qt.IsNotNil)
	c.Assert(strings.HasPrefix(wantLines(300), got.body), qt.IsTrue)
}

// A caller that goes away ends the run at the backend server at once.
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
		c.Fatal("the run goes on after its caller left")
	}
	got, err := f.call(http.MethodGet, lookupPath+"/warm", "")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusOK)
}

// A link that carries nothing and does not end is found out and resumed.
func TestSilentLinkIsResumed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(100, 10*time.Millisecond)))
	f := newFleet(t)
	relay := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	time.AfterFunc(300*time.Millisecond, relay.mute)
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.cut, qt.IsNil)
	c.Assert(got.body, qt.Equals, wantLines(100))
	c.Assert(b.runs.Load()-before, qt.Equals, int64(1))
}

// An idempotent call that is queued again after a run that may have happened
// is not called not-run when its deadline passes.
func TestQueuedAgainAfterALostRunIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	held := make(chan struct{})
	defer close(held)
	b := newBackend(t, nil)
	b.Config.Handler = holdFirst(b, held)
	f := newFleet(t)
	relay := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	go func() {
		for b.runs.Load() == before {
			time.Sleep(testBackoff)
		}
		relay.refuse.Store(true)
		relay.cut()
	}()
	req := f.request(http.MethodPost, lookupPath, "{}")
	req.Header.Set("Goldcrest-Deadline", "4s")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.Header.Get("Goldcrest-Outcome"), qt.Equals, "unknown")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusBadGateway)
}

// A run whose router does not come back within the grace time ends, so that
// its slot is free again.
func TestAbandonedRunEndsAfterTheGrace(t *testing.T) {
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
	n.cut()
	cut := time.Now()
	select {
	case at := <-ended:
		c.Assert(at.Sub(cut) > grace/2, qt.IsTrue, qt.Commentf("ended after %s", at.Sub(cut)))
	case <-time.After(grace + 3*time.Second):
		c.Fatal("the run goes on")
	}
}

// Connections that were cut while they were idle cost no call its outcome.
func TestStaleConnectionsCostNoCall(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := newBackend(t, warm(lines(1, 0)))
	f := newFleet(t)
	n := f.sidecar("sidecar-1", b.URL)
	f.start()
	before := b.runs.Load()
	const calls = 20
	for range calls {
		n.cut()
		got, err := f.call(http.MethodPost, plainPath, "{}")
		c.Assert(err, qt.IsNil)
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	c.Assert(b.runs.Load()-before, qt.Equals, int64(calls))
}
