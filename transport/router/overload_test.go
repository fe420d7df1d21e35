package router_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
)

// Guards against queueing without limit: one backend server is overloaded, and
// requests that do not fit into the queue are refused at once and never run.
func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	b := newBackend(t, warm(func(http.ResponseWriter, *http.Request) { <-release }))
	f := newFleet(t)
	f.sidecar("s1", b.URL)
	f.start(func(set *settings.Router) { set.Queues.PerTeam, set.Queues.Total = 3, 3 })
	ran := b.runs.Load()
	const calls = 20
	replies := make(chan reply, calls)
	for range calls {
		go func() {
			r, _ := f.call(http.MethodGet, lookupPath, "")
			replies <- r
		}()
	}
	// At most four in slots, one pulled in advance and three queued.
	for range calls - 8 {
		r := <-replies
		c.Check(r.status, qt.Equals, http.StatusTooManyRequests)
		c.Check(r.outcome, qt.Equals, string(outcome.NotRun))
		after, err := strconv.Atoi(r.header.Get("Retry-After"))
		c.Check(err == nil && after >= 1 && after <= 60, qt.IsTrue, qt.Commentf("Retry-After %q", r.header.Get("Retry-After")))
	}
	close(release)
	completed := int64(0)
	for range 8 {
		r := <-replies
		if r.outcome == string(outcome.Completed) {
			completed++
			continue
		}
		c.Check(r.status, qt.Equals, http.StatusTooManyRequests)
	}
	c.Check(b.runs.Load()-ran, qt.Equals, completed)
	// Concurrent calls may find the queue full before a pull takes from it; the
	// three that filled it are served.
	c.Check(completed >= 3, qt.IsTrue, qt.Commentf("%d", completed))
}

func TestDeadlineEndsQueueing(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	b := newBackend(t, warm(func(http.ResponseWriter, *http.Request) { <-release }))
	f := newFleet(t)
	f.sidecar("s1", b.URL)
	f.start()
	for range 5 {
		go func() { _, _ = f.call(http.MethodGet, lookupPath, "") }()
	}
	for b.runs.Load() < 5 { // the warm-up request and four slots
		time.Sleep(pollInterval)
	}
	time.Sleep(10 * pollInterval)
	ran := b.runs.Load()
	req := f.request(http.MethodGet, lookupPath, "")
	req.Header.Set("Goldcrest-Deadline", "300ms")
	started := time.Now()
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	took := time.Since(started)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.NotRun))
	c.Check(took >= 300*time.Millisecond && took < 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.Check(b.runs.Load(), qt.Equals, ran)
}

// Guards against a backend server that fails fast and therefore attracts load:
// without ejection it would get nearly all requests, because the two healthy ones
// take longer.
func TestFastFailingServerDoesNotAttractLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t)
	good := newBackend(t, warm(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	bad := newBackend(t, warm(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	f.sidecar("good-1", good.URL)
	f.sidecar("good-2", good.URL)
	f.sidecar("bad", bad.URL)
	f.start()
	time.Sleep(time.Second) // all three are linked
	var failed, total atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for range 24 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for time.Now().Before(end) {
				r, err := f.call(http.MethodGet, lookupPath, "")
				total.Add(1)
				if err != nil || r.status != http.StatusOK {
					failed.Add(1)
				}
			}
		}()
	}
	callers.Wait()
	t.Logf("%d of %d failed", failed.Load(), total.Load())
	c.Check(failed.Load() <= 30, qt.IsTrue, qt.Commentf("%d of %d failed", failed.Load(), total.Load()))
	c.Check(total.Load() >= 300, qt.IsTrue, qt.Commentf("%d", total.Load()))
}
