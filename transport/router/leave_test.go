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

// starts notes when a backend server last began a run.
type starts struct{ last atomic.Int64 }

func (s *starts) handler(d time.Duration) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		s.last.Store(time.Now().UnixNano())
		time.Sleep(d)
	}
}

// load sends calls from a few callers until the returned function is called,
// which gives the number of calls and of those that were not answered whole.
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
				if err != nil || got.cut != nil || got.status != http.StatusOK {
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

func (m *memStore) list(id string, state platform.InstanceState) {
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

// change makes the next revision of the configuration.
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

// newWorkBound is the time after which a backend server that leaves must have
// begun no new run. The promise says a few seconds.
const newWorkBound = 2 * time.Second

// However a backend server is told to leave, it begins no new run soon after,
// nothing is lost meanwhile, and the other one serves on.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	ways := map[string]func(*fleet, *node){
		"list":  func(f *fleet, n *node) { f.store.list(n.id, platform.StateLeaving) },
		"drain": func(f *fleet, n *node) { f.store.drain(f.t, n.id) },
		"evacuation": func(f *fleet, _ *node) {
			f.store.change(f.t, func(doc *config.Document) { doc.Evacuate = []string{"hall-east"} })
		},
		"signal": func(_ *fleet, n *node) { go n.leave() },
	}
	for way, tell := range ways {
		t.Run(way, func(t *testing.T) {
			c := qt.New(t)
			var first, second starts
			f := newFleet(t)
			n := f.sidecar("sidecar-1", newBackend(t, first.handler(20*time.Millisecond)).URL, func(set *settings.Sidecar) {
				set.DataCentre = "hall-east"
			})
			f.sidecar("sidecar-2", newBackend(t, second.handler(20*time.Millisecond)).URL)
			f.start()
			end := f.load(12)
			time.Sleep(500 * time.Millisecond)
			told := time.Now()
			tell(f, n)
			time.Sleep(newWorkBound + time.Second)
			calls, bad := end()
			lag := time.Unix(0, first.last.Load()).Sub(told)
			c.Logf("last new start %s after; %d calls", lag, calls)
			c.Assert(bad, qt.Equals, int64(0))
			c.Assert(first.last.Load() > 0, qt.IsTrue)
			c.Assert(lag < newWorkBound, qt.IsTrue, qt.Commentf("%s", lag))
			c.Assert(time.Unix(0, second.last.Load()).Sub(told) > newWorkBound, qt.IsTrue)
		})
	}
}

// A router that is told to stop refuses what comes and cuts off nothing that
// it holds.
func TestStoppedRouterFinishesWhatItHolds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var s starts
	f := newFleet(t)
	f.sidecar("sidecar-1", newBackend(t, warm(s.handler(800*time.Millisecond))).URL)
	f.start()
	var wg sync.WaitGroup
	var whole atomic.Int64
	const held = 12 // more than the slots, so that some are queued
	for range held {
		wg.Go(func() {
			got, err := f.call(http.MethodPost, plainPath, "{}")
			if err == nil && got.cut == nil && got.status == http.StatusOK {
				whole.Add(1)
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
	c.Assert(whole.Load(), qt.Equals, int64(held))
	c.Assert(<-f.done, qt.IsNil)
	f.done <- nil
}

// When the stop bound has passed, or on a second request to stop, what is held
// ends with typed outcomes.
func TestStopBoundEndsWithTypedOutcomes(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"bound", "again"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var s starts
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

// outcomesOf sends calls at once, does something meanwhile, and counts the
// outcomes.
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

// A sidecar whose stop bound has passed ends its runs with typed outcomes and
// not with a bare cut.
func TestSidecarStopBoundEndsWithTypedOutcomes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var s starts
	f := newFleet(t)
	n := f.sidecar("sidecar-1", newBackend(t, warm(s.handler(3*time.Second))).URL, func(set *settings.Sidecar) {
		set.Stop.Bound = settings.Duration(300 * time.Millisecond)
	})
	f.start()
	time.AfterFunc(200*time.Millisecond, n.leave)
	began := time.Now()
	got, err := f.call(http.MethodPost, plainPath, "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(got.status, qt.Equals, http.StatusBadGateway)
	c.Assert(got.outcome, qt.Equals, "unknown")
	c.Assert(got.body, qt.Contains, `"reason":"leaving"`)
	c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
}
