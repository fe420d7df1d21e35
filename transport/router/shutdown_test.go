package router_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// startRecorder records when a backend server last started a run.
type startRecorder struct{ last atomic.Int64 }

func (s *startRecorder) handler(d time.Duration) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		s.last.Store(time.Now().UnixNano())
		time.Sleep(d)
	}
}

// load sends calls from several callers until the returned function is called,
// which returns the number of calls and of those without a complete success.
func (f *fleet) load(callers int) func() (calls, bad int64) {
	var wg sync.WaitGroup
	var total, bad atomic.Int64
	stop := make(chan struct{})
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got, err := f.call(http.MethodPost, plainPath, "{}")
				total.Add(1)
				if err != nil || got.bodyErr != nil || got.status != http.StatusOK {
					bad.Add(1)
					f.t.Logf("call: %v %+v", err, got)
				}
			}
		})
	}
	return func() (int64, int64) {
		close(stop)
		wg.Wait()
		return total.Load(), bad.Load()
	}
}

func (m *memStore) setState(id string, state platform.InstanceState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.instances {
		if m.instances[i].ID == id {
			m.instances[i].State = state
		}
	}
}

func (m *memStore) drain(t testing.TB, ids ...string) {
	m.change(t, func(doc *config.Document) { doc.Drain = ids })
}

// change edits the configuration and stores it as the next revision.
func (m *memStore) change(t testing.TB, edit func(*config.Document)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var doc config.Document
	qt.Assert(t, json.Unmarshal(m.doc, &doc), qt.IsNil)
	doc.Revision++
	edit(&doc)
	data, err := json.Marshal(doc)
	qt.Assert(t, err, qt.IsNil)
	m.doc = data
	m.version++
}

// newWorkBound is the time after which a draining backend server must not start
// new runs. The documented guarantee is a few seconds.
const newWorkBound = 2 * time.Second

// Guards against new runs on a backend server that is being drained, by each of
// the ways to drain it, and against failed requests meanwhile. The other backend
// server must keep serving.
func TestDrainingBackendServerGetsNoNewRuns(t *testing.T) {
	t.Parallel()
	drainMethods := map[string]func(*fleet, *node){
		"list":  func(f *fleet, n *node) { f.store.setState(n.id, platform.StateLeaving) },
		"drain": func(f *fleet, n *node) { f.store.drain(f.t, n.id) },
		"evacuation": func(f *fleet, _ *node) {
			f.store.change(f.t, func(doc *config.Document) { doc.Evacuate = []string{"hall-east"} })
		},
		"signal": func(_ *fleet, n *node) { go n.shutDown() },
	}
	for method, startDrain := range drainMethods {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			var first, second startRecorder
			f := newFleet(t)
			n := f.sidecar("sidecar-1", newBackend(t, first.handler(20*time.Millisecond)).URL, func(set *settings.Sidecar) {
				set.DataCentre = "hall-east"
			})
			f.sidecar("sidecar-2", newBackend(t, second.handler(20*time.Millisecond)).URL)
			f.start()
			end := f.load(12)
			time.Sleep(500 * time.Millisecond)
			drainedAt := time.Now()
			startDrain(f, n)
			time.Sleep(newWorkBound + time.Second)
			calls, bad := end()
			lag := time.Unix(0, first.last.Load()).Sub(drainedAt)
			c.Logf("last new start %s after; %d calls", lag, calls)
			c.Assert(bad, qt.Equals, int64(0))
			c.Assert(first.last.Load() > 0, qt.IsTrue)
			c.Assert(lag < newWorkBound, qt.IsTrue, qt.Commentf("%s", lag))
			c.Assert(time.Unix(0, second.last.Load()).Sub(drainedAt) > newWorkBound, qt.IsTrue)
		})
	}
}

// Guards against lost requests when a router is stopped: requests in flight,
// queued ones included, complete, and new ones get a not-run refusal.
func TestStoppedRouterFinishesRequestsInFlight(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var s startRecorder
	f := newFleet(t)
	f.sidecar("sidecar-1", newBackend(t, warm(s.handler(800*time.Millisecond))).URL)
	f.start()
	var wg sync.WaitGroup
	var completed atomic.Int64
	const inFlight = 12 // more than the slots, so that some are queued
	for range inFlight {
		wg.Go(func() {
			got, err := f.call(http.MethodPost, plainPath, "{}")
			if err == nil && got.bodyErr == nil && got.status == http.StatusOK {
				completed.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	close(f.stop)
	time.Sleep(50 * time.Millisecond)
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(got.outcome, qt.Equals, "not-run")
	c.Assert(got.header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(got.closes, qt.IsTrue)
	ready, err := http.Get(f.ops + "/readyz")
	c.Assert(err, qt.IsNil)
	ready.Body.Close()
	c.Assert(ready.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	wg.Wait()
	c.Assert(completed.Load(), qt.Equals, int64(inFlight))
	c.Assert(<-f.done, qt.IsNil)
	f.done <- nil
}

// Guards against connections that close without an outcome: when the stop bound
// has passed, or at a second stop request, the requests in flight end with typed
// outcomes.
func TestStopBoundEndsWithTypedOutcomes(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"bound", "again"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var s startRecorder
			f := newFleet(t)
			f.sidecar("sidecar-1", newBackend(t, warm(s.handler(3*time.Second))).URL)
			f.start(func(set *settings.Router) {
				if way == "bound" {
					set.Stop.Bound = settings.Duration(300 * time.Millisecond)
				}
			})
			outcomes := f.outcomesOf(8, func() {
				time.Sleep(200 * time.Millisecond)
				close(f.stop)
				if way == "again" {
					f.router.Abort()
				}
			})
			c.Assert(outcomes["unknown"] >= 4, qt.IsTrue, qt.Commentf("%v", outcomes))
			c.Assert(outcomes["unknown"]+outcomes["not-run"], qt.Equals, 8, qt.Commentf("%v", outcomes))
			c.Assert(<-f.done, qt.IsNil)
			f.done <- nil
		})
	}
}

// outcomesOf sends calls concurrently, calls meanwhile, and counts the outcomes.
func (f *fleet) outcomesOf(calls int, meanwhile func()) map[string]int {
	var mu sync.Mutex
	out := map[string]int{}
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			got, err := f.call(http.MethodPost, plainPath, "{}")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out["error"]++
				return
			}
			out[got.outcome]++
		})
	}
	meanwhile()
	wg.Wait()
	return out
}

// Guards against a sidecar that, when its stop bound has passed, closes its
// streams without typed outcomes for their runs.
func TestSidecarStopBoundEndsWithTypedOutcomes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var s startRecorder
	f := newFleet(t)
	n := f.sidecar("sidecar-1", newBackend(t, warm(s.handler(3*time.Second))).URL, func(set *settings.Sidecar) {
		set.Stop.Bound = settings.Duration(300 * time.Millisecond)
	})
	f.start()
	time.AfterFunc(200*time.Millisecond, n.shutDown)
	started := time.Now()
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusBadGateway)
	c.Assert(got.outcome, qt.Equals, "unknown")
	c.Assert(got.body, qt.Contains, `"reason":"leaving"`)
	c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue)
}
