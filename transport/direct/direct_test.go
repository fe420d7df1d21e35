package direct

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/staleness"
	"goldcrestport/coordination/watchduty"
	"goldcrestport/protocol/digest"
	"goldcrestport/protocol/settings"
	"goldcrestport/transport/observe"
)

func TestWithoutAConfigurationNothingIsServed(t *testing.T) {
	f := start(t, nil)
	f.Check(f.ready(), qt.Equals, http.StatusServiceUnavailable)
	got := f.call("/safe/", "r")
	f.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

func TestAnAnswerIsRelayedUnchanged(t *testing.T) {
	b := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool {
		return respond(w, req, http.StatusCreated, testMark+": m\r\nX-Other: kept\r\n", "héllo")
	})
	f := start(t, testConfig(1), b)
	got := f.call("/once/x?y=1", "r", testLeft, "2000")
	f.Check(got.status, qt.Equals, http.StatusCreated)
	f.Check(got.body, qt.Equals, "héllo")
	f.Check(got.header.Get("X-Other"), qt.Equals, "kept")
	f.Check(got.header.Get(testMark), qt.Equals, "m")
	f.Check(b.runs(), qt.DeepEquals, []string{"r"})
	b.mu.Lock()
	defer b.mu.Unlock()
	f.Check(b.last.Get(testServer), qt.Equals, "i-1")
	left, err := strconv.Atoi(b.last.Get(testLeft))
	f.Check(err, qt.IsNil)
	f.Check(left > 1500 && left <= 2000, qt.IsTrue, qt.Commentf("%d ms", left))
}

func TestRoutesAndKeys(t *testing.T) {
	b := newBackend(t, "i-1", ok)
	f := start(t, testConfig(1), b)
	f.Check(f.call("/nowhere/", "a").status, qt.Equals, http.StatusNotFound)
	f.Check(f.call("/keyed/", "b").status, qt.Equals, http.StatusUnauthorized)
	f.Check(f.call("/keyed/", "c", testKey, "wrong").status, qt.Equals, http.StatusUnauthorized)
	f.Check(f.call("/keyed/", "d", testKey, "key", testTeam, "another").status, qt.Equals, http.StatusOK)
	b.mu.Lock()
	f.Check(b.last.Get(testTeam), qt.Equals, "team")
	b.mu.Unlock()
	f.Check(b.runs(), qt.DeepEquals, []string{"d"})
}

// A revoked key stops working also at a router that cannot reach the store: within the
// freshness bound, it refuses every key. Public routes keep working.
func TestKeysNeedAFreshConfiguration(t *testing.T) {
	f := start(t, testConfig(1), newBackend(t, "i-1", ok))
	f.Check(f.call("/keyed/", "a", testKey, "key").status, qt.Equals, http.StatusOK)
	f.source.setDown(true)
	time.Sleep(600 * time.Millisecond)
	got := f.call("/keyed/", "b", testKey, "key")
	f.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	// A key or route that a newer configuration may have is not denied.
	f.Check(f.call("/keyed/", "c", testKey, "new").status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(f.call("/nowhere/", "d").status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(f.call("/safe/", "e").status, qt.Equals, http.StatusOK)
	f.Check(f.ready(), qt.Equals, http.StatusServiceUnavailable)
	f.source.setDown(false)
	f.waitReady()
	f.Check(f.call("/keyed/", "f", testKey, "key").status, qt.Equals, http.StatusOK)
}

// A request whose server fails when the configuration is no longer known to be current is not
// retried, and ends at once.
func TestNothingIsRetriedOnAStaleConfiguration(t *testing.T) {
	slow := func(io.Writer, *http.Request) bool {
		time.Sleep(600 * time.Millisecond)
		return false
	}
	a, b := newBackend(t, "i-1", slow), newBackend(t, "i-2", slow)
	f := start(t, testConfig(1), a, b)
	f.source.setDown(true)
	begin := time.Now()
	got := f.call("/keyed/", "r", testKey, "key")
	f.Check(got.status, qt.Equals, http.StatusBadGateway)
	f.Check(time.Since(begin) < 1200*time.Millisecond, qt.IsTrue)
	f.Check(len(a.runs())+len(b.runs()), qt.Equals, 1)
}

func TestANewConfigurationIsInForceAndNeverGoesBack(t *testing.T) {
	f := start(t, testConfig(5), newBackend(t, "i-1", ok))
	c := testConfig(9)
	c.Teams[0].Keys = []string{"other"}
	f.source.changes <- mirror.Delta{Config: c, Revision: 2}
	f.waitStatus("/keyed/", "other", http.StatusOK)
	f.source.changes <- mirror.Delta{Config: testConfig(7), Revision: 3}
	time.Sleep(100 * time.Millisecond)
	f.Check(f.call("/keyed/", "x", testKey, "key").status, qt.Equals, http.StatusUnauthorized)
}

func (f *fixture) waitStatus(path, key string, want int) {
	for i := range 100 {
		if f.call(path, fmt.Sprint("w", i), testKey, key).status == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fatalf("no %d from %s", want, path)
}

// A request that may run only once is sent to another server only if the first one certainly
// did not run it; otherwise its outcome is unknown, which is not a refusal.
func TestARequestThatMayRunOnceRunsOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		run  func(w io.Writer, req *http.Request) bool
		want int
		runs int
	}{
		"refused": {func(w io.Writer, req *http.Request) bool {
			return respond(w, req, http.StatusServiceUnavailable, testNotRun+": 1\r\n", "")
		}, http.StatusServiceUnavailable, 2},
		"another server": {func(w io.Writer, req *http.Request) bool {
			return respond(w, req, http.StatusMisdirectedRequest, "", "")
		}, http.StatusServiceUnavailable, 2},
		"closed": {func(io.Writer, *http.Request) bool { return false }, http.StatusBadGateway, 1},
		"cut": {func(w io.Writer, req *http.Request) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\nContent-Length: 9\r\n\r\nabc", testMark)
			return false
		}, http.StatusBadGateway, 1},
		"unmarked": {func(w io.Writer, req *http.Request) bool { return respond(w, req, http.StatusOK, "", "x") }, http.StatusBadGateway, 1},
		"own error": {func(w io.Writer, req *http.Request) bool {
			return respond(w, req, http.StatusInternalServerError, testMark+": m\r\n", "x")
		}, http.StatusInternalServerError, 1},
	} {
		a, b := newBackend(t, "i-1", tc.run), newBackend(t, "i-2", tc.run)
		f := start(t, testConfig(1), a, b)
		got := f.call("/once/", "r")
		f.Check(got.status, qt.Equals, tc.want, qt.Commentf(name))
		f.Check(len(a.runs())+len(b.runs()), qt.Equals, tc.runs, qt.Commentf(name))
		f.Check(got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "", qt.IsTrue, qt.Commentf(name))
	}
}

// An idempotent request whose answer breaks off is retried, and the caller gets the whole
// answer of one run.
func TestABrokenAnswerIsRetriedWhole(t *testing.T) {
	for _, head := range []string{"Content-Length: 9\r\n", "", "Transfer-Encoding: chunked\r\n"} {
		var once sync.Once
		run := func(w io.Writer, req *http.Request) bool {
			broken := false
			once.Do(func() { broken = true })
			if !broken {
				return ok(w, req)
			}
			body := "abc"
			if strings.HasPrefix(head, "Transfer") {
				body = "3\r\nabc\r\n"
			}
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: other\r\n%s\r\n%s", testMark, head, body)
			time.Sleep(20 * time.Millisecond)
			_ = w.(*net.TCPConn).SetLinger(0)
			return false
		}
		f := start(t, testConfig(1), newBackend(t, "i-1", run), newBackend(t, "i-2", run))
		got := f.call("/safe/", "r")
		f.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%q", head))
		f.Check(got.body, qt.Equals, "hello", qt.Commentf("%q", head))
		f.Check(got.header.Get(testMark), qt.Equals, "m", qt.Commentf("%q", head))
	}
}

func TestAStreamIsRelayedWhole(t *testing.T) {
	f := start(t, testConfig(1), newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool { return events(w, req, 5, time.Millisecond, false) }))
	got := f.call("/stream/", "r")
	f.Check(got.err, qt.IsNil)
	f.Check(got.body, qt.Equals, eventsText(1, 5))
}

func eventsText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// A stream that may not run again is visibly cut when its server breaks it off; one that may
// continues at another server after the last whole event.
func TestABrokenStream(t *testing.T) {
	run := func(w io.Writer, req *http.Request) bool {
		if req.Header.Get(testLast) == "" {
			return events(w, req, 3, time.Millisecond, true)
		}
		return events(w, req, 6, time.Millisecond, false)
	}
	a, b := newBackend(t, "i-1", run), newBackend(t, "i-2", run)
	f := start(t, testConfig(1), a, b)
	cut := f.call("/stream/", "r1")
	f.Check(cut.err, qt.IsNotNil)
	f.Check(len(a.runs())+len(b.runs()), qt.Equals, 1)
	whole := f.call("/resume/", "r2")
	f.Check(whole.err, qt.IsNil)
	f.Check(whole.body, qt.Equals, eventsText(1, 6))
	f.Check(len(a.runs())+len(b.runs()), qt.Equals, 3)
}

// The final answer comes at the route's timeout, and the time that the server is given is
// shorter than the caller's.
func TestTheFinalAnswerComesAtTheTimeout(t *testing.T) {
	f := start(t, testConfig(1), newBackend(t, "i-1", func(io.Writer, *http.Request) bool {
		time.Sleep(time.Second)
		return false
	}))
	begin := time.Now()
	got := f.call("/short/", "r", testLeft, "60000")
	f.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
	took := time.Since(begin)
	f.Check(took > 140*time.Millisecond && took < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
}

// A caller's disconnection cancels the run at the server.
func TestACallersDisconnectionCancelsTheRun(t *testing.T) {
	ended := make(chan struct{})
	b := newBackend(t, "i-1", func(w io.Writer, _ *http.Request) bool {
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		close(ended)
		return false
	})
	f := start(t, testConfig(1), b)
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	f.Assert(err, qt.IsNil)
	_, _ = fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\n%s: r\r\nContent-Length: 0\r\n\r\n", testID)
	for range 200 {
		if len(b.runs()) == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.Assert(conn.Close(), qt.IsNil)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		f.Fatal("the server still runs the request")
	}
}

// Servers that are draining or whose entries are removed receive no new requests.
func TestDrainingServersReceiveNoRequests(t *testing.T) {
	a, b := newBackend(t, "i-1", ok), newBackend(t, "i-2", ok)
	f := start(t, testConfig(1), a, b)
	leaving := servers(a)[0]
	leaving.Draining = true
	f.source.changes <- mirror.Delta{Servers: []roster.Server{leaving}, Revision: 2}
	time.Sleep(100 * time.Millisecond)
	for i := range 6 {
		f.Check(f.call("/safe/", fmt.Sprint("r", i)).status, qt.Equals, http.StatusOK)
	}
	f.Check(a.runs(), qt.HasLen, 0)
	f.source.changes <- mirror.Delta{Removed: []string{"i-2"}, Revision: 3}
	time.Sleep(100 * time.Millisecond)
	f.Check(f.call("/safe/", "last").status, qt.Equals, http.StatusServiceUnavailable)
}

// During a planned shutdown the router is unready at once, still accepts new requests for a
// while, asks callers to close kept connections, and completes the requests in flight.
func TestAPlannedShutdownCutsNothing(t *testing.T) {
	b := newBackend(t, "i-1", func(w io.Writer, req *http.Request) bool { return events(w, req, 10, 20*time.Millisecond, false) })
	f := start(t, testConfig(1), b)
	running := make(chan reply, 1)
	go func() { running <- f.call("/stream/", "r1") }()
	for len(b.runs()) == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	close(f.stop)
	time.Sleep(30 * time.Millisecond)
	f.Check(f.ready(), qt.Equals, http.StatusServiceUnavailable)
	taken := f.call("/stream/", "r2")
	f.Check(taken.err, qt.IsNil)
	f.Check(taken.body, qt.Equals, eventsText(1, 10))
	f.Check(strings.EqualFold(taken.header.Get("Connection"), "close") || taken.header.Get("Connection") == "", qt.IsTrue)
	got := <-running
	f.Check(got.err, qt.IsNil)
	f.Check(got.body, qt.Equals, eventsText(1, 10))
}

// While a router shuts down, it refuses streams, as they may outlast it, and serves short
// requests until the end.
func TestARouterThatShutsDownServesShortRequests(t *testing.T) {
	long := func(w io.Writer, req *http.Request) bool {
		if req.URL.Path == "/safe/" {
			return ok(w, req)
		}
		return events(w, req, 20, 20*time.Millisecond, false)
	}
	f := start(t, testConfig(1), newBackend(t, "i-1", long))
	// The router knows how long the requests of the route take.
	f.Check(f.call("/safe/", "r0").status, qt.Equals, http.StatusOK)
	running := make(chan reply, 1)
	go func() { running <- f.call("/stream/", "r1") }()
	time.Sleep(30 * time.Millisecond)
	close(f.stop)
	for !f.router.shuttingDown.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	refused := f.call("/stream/", "r2")
	f.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	f.Check(f.call("/safe/", "r3").status, qt.Equals, http.StatusOK)
	f.Check((<-running).err, qt.IsNil)
}

// A router that learns that another one has a newer revision fetches it from there, and the
// revision counts as current only if the other router's message answers one of its own.
func TestChangesAreFetchedFromAPeer(t *testing.T) {
	b := newBackend(t, "i-1", ok)
	watcher := startPeer(t, "watcher", testConfig(1), b)
	follower := startPeer(t, "follower", testConfig(1), b)
	follower.source.setDown(true)
	follower.registerPeer(watcher)
	watcher.registerPeer(follower)
	c := testConfig(9)
	c.Teams[0].Keys = []string{"new"}
	watcher.source.changes <- mirror.Delta{Config: c, Revision: 50, Joined: map[string]mirror.Registration{
		"follower": {Address: follower.set.Listen.Peers}, "watcher": {Address: watcher.set.Listen.Peers},
	}}
	follower.waitStatus("/keyed/", "new", http.StatusOK)
	// The store is unavailable for longer than the bound; the watcher's confirmation keeps the
	// follower fresh.
	time.Sleep(800 * time.Millisecond)
	follower.Check(follower.call("/keyed/", "x", testKey, "new").status, qt.Equals, http.StatusOK)
	follower.Check(follower.call("/keyed/", "y", testKey, "key").status, qt.Equals, http.StatusUnauthorized)
	// It serves callers that come, and asks the load balancer to send callers elsewhere.
	time.Sleep(partitionedReadyTime)
	follower.Check(follower.ready(), qt.Equals, http.StatusServiceUnavailable)
	// Without the watcher the follower stops serving.
	watcher.end()
	time.Sleep(800 * time.Millisecond)
	follower.Check(follower.call("/keyed/", "z", testKey, "new").status, qt.Equals, http.StatusServiceUnavailable)
}

// Every call to the store is paid for: a router that other routers keep up to date makes none,
// however many changes there are.
func TestAFollowerDoesNotCallTheStore(t *testing.T) {
	b := newBackend(t, "i-1", ok)
	routers := []*fixture{startPeer(t, "a", testConfig(1), b), startPeer(t, "b", testConfig(1), b), startPeer(t, "c", testConfig(1), b)}
	ids := make([]string, len(routers))
	for i, one := range routers {
		ids[i] = one.set.ID
		for _, other := range routers {
			one.registerPeer(other)
		}
	}
	watchers := watchduty.DefaultConfig().Chosen(ids)
	at := slices.IndexFunc(routers, func(f *fixture) bool { return !slices.Contains(watchers, f.set.ID) })
	follower, watcher := routers[at], routers[(at+1)%len(routers)]
	time.Sleep(200 * time.Millisecond)
	before := follower.source.counted()
	const changes = 10
	for n := range uint64(changes) {
		watcher.source.changes <- mirror.Delta{Config: testConfig(n + 2), Revision: 10 + n}
		time.Sleep(120 * time.Millisecond)
	}
	follower.waitVersion(changes + 1)
	time.Sleep(time.Second)
	follower.Check(follower.source.counted()-before, qt.Equals, 0)
}

// A watcher that the store refuses repeats its last confirmation; only a new one may count as
// received, or every router would wait its full wait time to learn what changed. It happened
// when both watchers of a small site were refused.
func TestARepeatedConfirmationIsNotNew(t *testing.T) {
	set := settings.DefaultDirect()
	set.ID = "follower"
	r := New(set, Config{Admission: admission.DefaultConfig(), Roster: roster.DefaultConfig(), Staleness: staleness.DefaultConfig(), Freshness: time.Second}, &testSource{}, testDialect{}, log.NewNopLogger())
	seq := uint32(0)
	tell := func(heard uint32) time.Duration {
		seq++
		r.receiveMessage(digest.Message{Router: "watcher", Seq: seq, Heard: heard, Revision: 1})
		return r.confirmedAt
	}
	r.witness.Sent(7, bootTime())
	first := tell(7)
	qt.Check(t, first > 0, qt.IsTrue)
	time.Sleep(2 * time.Millisecond)
	qt.Check(t, tell(7), qt.Equals, first)
	r.witness.Sent(8, bootTime())
	time.Sleep(2 * time.Millisecond)
	qt.Check(t, tell(8) > first, qt.IsTrue)
}

// A saturated router must still learn at once that a server is draining. A call to another
// router took longer than its timeout there, for seconds. One message brings the change, and
// no call is made.
func TestChangesAreAttachedToTheNextMessage(t *testing.T) {
	b := newBackend(t, "i-1", ok)
	watcher, follower := startPeer(t, "a", testConfig(1), b), startPeer(t, "b", testConfig(1), b)
	follower.source.setDown(true)
	watcher.registerPeer(follower)
	follower.registerPeer(watcher)
	watcher.source.changes <- mirror.Delta{Revision: 10, Servers: []roster.Server{{ID: "i-1", Address: b.address, Service: "app", Slots: 8, Draining: true}}}
	for n := 0; follower.router.metrics.attachedApplied.Value() == 0 && n < 100; n++ {
		time.Sleep(5 * time.Millisecond)
	}
	follower.Check(follower.router.metrics.attachedApplied.Value(), qt.Equals, int64(1))
	follower.Check(follower.call("/safe/", "r").status, qt.Equals, http.StatusServiceUnavailable)
	follower.Check(follower.router.metrics.peerReads.Value(), qt.Equals, int64(0))
	// Changes older than the router's revision have no effect.
	follower.router.update(mirror.Delta{Revision: 9, Servers: servers(b)})
	follower.Check(follower.call("/safe/", "r2").status, qt.Equals, http.StatusServiceUnavailable)
}

// A router that starts while the store does not answer takes a configuration from a seed and
// serves what needs no key; keys are refused until the configuration is confirmed as current.
func TestARouterStartsFromASeed(t *testing.T) {
	b := newBackend(t, "i-1", ok)
	seed := startPeer(t, "seed", testConfig(3), b)
	begun := startWith(t, nil, func(set *settings.Direct, source *testSource) {
		source.down = true
		set.ID, set.Listen.Peers, set.Seeds = "begun", freeAddress(qt.New(t)), []string{seed.set.Listen.Peers}
	})
	begun.waitStatus("/safe/", "", http.StatusOK)
	begun.Check(begun.call("/keyed/", "k", testKey, "key").status, qt.Equals, http.StatusServiceUnavailable)
	begun.Check(begun.ready(), qt.Equals, http.StatusServiceUnavailable)
}

// waitVersion waits until the configuration version is in force.
func (f *fixture) waitVersion(version uint64) {
	for range 300 {
		if t := f.router.table.Load(); t != nil && t.Version() == version {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fatalf("version %d is not in force", version)
}

// registerPeer registers the other router at this one.
func (f *fixture) registerPeer(other *fixture) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	f.router.peers[other.set.ID] = mirror.Registration{Address: other.set.Listen.Peers}
	f.router.countRouters()
}

// Every metric is in the documentation, and the text form contains its values.
func TestMetricsAreDocumented(t *testing.T) {
	f := start(t, testConfig(1), newBackend(t, "i-1", ok))
	f.call("/safe/", "r")
	page, err := os.ReadFile("../../docs/METRICS.md")
	f.Assert(err, qt.IsNil)
	for _, name := range f.router.metrics.vars.Names() {
		f.Check(strings.Contains(string(page), "`"+name+"`"), qt.IsTrue, qt.Commentf(name))
	}
	w := httptest.NewRecorder()
	f.router.metrics.vars.ServeText(w, nil)
	f.Check(w.Body.String(), qt.Contains, "direct_requests 1\n")
	f.Check(w.Body.String(), qt.Contains, "direct_outcomes{key=\"completed\"} 1\n")
}

// stalled is a reader of the log that reads nothing until it is released.
type stalled struct {
	// entered is closed by the first write, which blocks from then on.
	entered, released chan struct{}
	once              sync.Once
}

// Write implements io.Writer.
func (s *stalled) Write(line []byte) (int, error) {
	s.once.Do(func() { close(s.entered) })
	<-s.released
	return len(line), nil
}

// A reader of standard output that stalls costs log lines, which are counted, and slows no
// request.
func TestAStalledReaderOfLogsSlowsNoRequest(t *testing.T) {
	reader := &stalled{entered: make(chan struct{}), released: make(chan struct{})}
	defer close(reader.released)
	lines := observe.NewWriter(reader)
	logger := observe.NewLogger(lines, "direct", "r", settings.Log{Level: settings.LogInfo})
	f := startLogged(t, testConfig(1), logger, func(*settings.Direct, *testSource) {}, newBackend(t, "i-1", ok))
	f.router.CountLost(lines.Dropped)
	// The writer must block on its reader before the queue is filled: a batch that it took
	// afterwards would leave room for a thousand lines.
	f.router.event("filler")
	<-reader.entered
	// More lines than any queue holds.
	const many = 10_000
	for range many {
		f.router.event("filler")
	}
	before := lines.Dropped()
	f.Check(before > 0, qt.IsTrue)
	began := time.Now()
	const requests = 50
	for i := range requests {
		f.Assert(f.call("/safe/", fmt.Sprint("r", i)).status, qt.Equals, http.StatusOK)
		f.Assert(f.call("/keyed/", fmt.Sprint("u", i)).status, qt.Equals, http.StatusUnauthorized)
	}
	f.Check(time.Since(began) < 2*time.Second, qt.IsTrue)
	f.Check(lines.Dropped() > before, qt.IsTrue)
	w := httptest.NewRecorder()
	f.router.metrics.vars.ServeText(w, nil)
	f.Check(w.Body.String(), qt.Contains, "log_lines_lost ")
}

// Each hop of a request has a span: its reception and each call to a server.
func TestEachHopHasASpan(t *testing.T) {
	kept := tracetest.NewInMemoryExporter()
	tracer := observe.TracerTo(kept, "direct", "r", 1)
	f := start(t, testConfig(1), newBackend(t, "i-1", ok))
	f.router.SetTracer(tracer)
	f.Assert(f.call("/safe/", "r").status, qt.Equals, http.StatusOK)
	f.Assert(tracer.Flush(context.Background()), qt.IsNil)
	var names []string
	for _, span := range kept.GetSpans() {
		names = append(names, span.Name)
	}
	f.Check(names, qt.Contains, observe.SpanReceive)
	f.Check(names, qt.Contains, observe.SpanBackend)
}

// A timeout at a router that reads late is not counted against the server; a refused
// connection always is.
func TestATimeoutAtALateRouterIsNotCountedAgainstServers(t *testing.T) {
	f := start(t, testConfig(1))
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	ctx := context.Background()
	f.Check(f.router.unreached(ctx, timeout), qt.Equals, health.Unreachable)
	f.router.load.meanLateness.Store(int64(2 * disconnectCheckLateness))
	f.Check(f.router.unreached(ctx, timeout), qt.Equals, health.NoResult)
	f.Check(f.router.unreached(ctx, refused), qt.Equals, health.Unreachable)
}
