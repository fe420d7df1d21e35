package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/repeats"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/staleness"
	"goldcrestport/coordination/versions"
	"goldcrestport/coordination/warmup"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/routing"
	"goldcrestport/transport/backend"
	"goldcrestport/transport/platform"
)

// Headers of the dialect in these tests.
const (
	testID      = "X-Id"
	testKey     = "X-Key"
	testTeam    = "X-Team"
	testLeft    = "X-Left-Ms"
	testServer  = "X-Server"
	testLast    = "Last-Event-Id"
	testResumes = "X-Resumes"
	testMark    = "X-Mark"
	testNotRun  = "X-Not-Run"
	testPrompt  = "X-Prompt"
	// testParts lists the ids of the prompt's shared parts in hexadecimal, separated by commas.
	testParts  = "X-Parts"
	testLeaves = "X-Leaves"
	testAfter  = "X-After-Ms"
)

// testDialect implements Dialect with few headers.
type testDialect struct{}

func (testDialect) Meta(h http.Header) Meta {
	ms, _ := strconv.Atoi(h.Get(testLeft))
	prompt, _ := strconv.Atoi(h.Get(testPrompt))
	var shared []admission.Prefix
	for part := range strings.SplitSeq(h.Get(testParts), ",") {
		if id, err := strconv.ParseUint(part, 16, 64); err == nil {
			shared = append(shared, admission.Prefix{ID: id, Tokens: 100})
		}
	}
	return Meta{Shared: shared, ID: h.Get(testID), Key: h.Get(testKey), TimeLeft: time.Duration(ms) * time.Millisecond, Prompt: prompt, Output: 100, LastEvent: h.Get(testLast), Resumes: h.Get(testResumes)}
}

func (testDialect) Outgoing(h http.Header, call Call) http.Header {
	out := http.Header{
		testID: h[testID], testServer: {call.Server}, testTeam: {call.Team}, testLeft: {strconv.FormatInt(call.TimeLeft.Milliseconds(), 10)},
	}
	if parts := h.Get(testParts); parts != "" {
		out.Set(testParts, parts)
	}
	if last := h.Get(testLast); last != "" {
		out.Set(testLast, last)
	}
	if call.ResumeAfter != "" {
		out.Set(testLast, call.ResumeAfter)
	}
	return out
}

func (testDialect) Own(h http.Header, id string) bool {
	return h.Get(testID) == "" || h.Get(testID) == id
}

func (testDialect) Reply(status int, h http.Header) Reply {
	retryAfter, _ := strconv.Atoi(h.Get(testAfter))
	return Reply{
		NotRun: h.Get(testNotRun) != "", OtherServer: status == http.StatusMisdirectedRequest, Marked: h.Get(testMark) != "",
		Leaving: h.Get(testLeaves) != "", RetryAfter: time.Duration(retryAfter) * time.Millisecond,
	}
}

func (testDialect) Incoming(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Connection")
	out.Del("Content-Length")
	return out
}

// testSource implements Source from memory.
type testSource struct {
	mu      sync.Mutex
	now     mirror.Snapshot
	changes chan mirror.Delta
	down    bool
	// calls counts the calls except those that renew the router's own entry.
	calls int
	// refused are the requests that routers entered.
	refused []quarantine.Entry
	// refusedParts are the refused sets of parts that routers entered.
	refusedParts []partquarantine.Entry
	// life is that of the router's process, 1 if it is zero, and handedOver are the lives that it wrote.
	life       versions.Life
	handedOver []versions.Life
	// wrote, if set, passes what this router wrote on to others, as the store does.
	wrote func(mirror.Delta)
	// origins are the records of where streams began, which all sources of a fleet share; nil if
	// this source keeps none.
	origins *originStore
}

func (s *testSource) counted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *testSource) Load(context.Context) (mirror.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return mirror.Snapshot{}, platform.ErrUnknown
	}
	now := s.now
	if s.origins != nil {
		now.Origins = []origin.Stored{{Router: "r", Records: s.origins.all()}}
	}
	return now, nil
}

func (s *testSource) Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Delta, error) {
	s.mu.Lock()
	down := s.down
	s.calls++
	s.mu.Unlock()
	if down {
		return mirror.Delta{}, platform.ErrUnknown
	}
	select {
	case d := <-s.changes:
		return d, nil
	case <-time.After(min(wait, 50*time.Millisecond)):
		return mirror.Delta{Revision: after}, nil
	case <-ctx.Done():
		return mirror.Delta{}, ctx.Err()
	}
}

func (s *testSource) Register(context.Context, string, string, versions.Life, time.Duration) (versions.Life, error) {
	return max(s.life, 1), nil
}

func (s *testSource) Unregister(context.Context, versions.Life) error { return nil }

func (s *testSource) KeepHandedOver(_ context.Context, _ string, life versions.Life) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnknown
	}
	s.handedOver = append(s.handedOver, life)
	return nil
}

func (s *testSource) Keep(_ context.Context, one quarantine.Entry, _ time.Duration) error {
	return s.write(mirror.Delta{Refused: []quarantine.Entry{one}}, func() {
		s.refused = slices.DeleteFunc(s.refused, func(other quarantine.Entry) bool { return other.Content == one.Content })
		s.refused = append(s.refused, one)
	})
}

// write makes the change and passes it on, unless the store is down.
func (s *testSource) write(d mirror.Delta, change func()) error {
	s.mu.Lock()
	down, wrote := s.down, s.wrote
	if !down {
		change()
	}
	s.mu.Unlock()
	if down {
		return platform.ErrUnknown
	}
	if wrote != nil {
		wrote(d)
	}
	return nil
}

func (s *testSource) Drop(_ context.Context, content quarantine.Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnknown
	}
	s.refused = slices.DeleteFunc(s.refused, func(one quarantine.Entry) bool { return one.Content == content })
	return nil
}

func (s *testSource) KeepParts(_ context.Context, one partquarantine.Entry, _ time.Duration) error {
	return s.write(mirror.Delta{RefusedParts: []partquarantine.Entry{one}}, func() {
		s.deleteParts(partquarantine.IDOf(one.Parts))
		s.refusedParts = append(s.refusedParts, one)
	})
}

func (s *testSource) DropParts(_ context.Context, set partquarantine.SetID) error {
	return s.write(mirror.Delta{ReleasedParts: []partquarantine.SetID{set}}, func() { s.deleteParts(set) })
}

// release deletes the entries of sets that any router of the fleet removed.
func (s *testSource) release(sets []partquarantine.SetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, set := range sets {
		s.deleteParts(set)
	}
}

// deleteParts deletes the entry of the set. The caller holds mu.
func (s *testSource) deleteParts(set partquarantine.SetID) {
	s.refusedParts = slices.DeleteFunc(s.refusedParts, func(one partquarantine.Entry) bool { return partquarantine.IDOf(one.Parts) == set })
}

func (s *testSource) KeepServed(_ context.Context, record versions.Served, _ time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnknown
	}
	s.now.Served = append(s.now.Served, record)
	return nil
}

func (s *testSource) KeepFleet(_ context.Context, record repeats.FleetRecord) error {
	return s.write(mirror.Delta{Fleet: &record}, func() { s.now.Fleet = &record })
}

// keptFleet returns the number of routers that was entered.
func (s *testSource) keptFleet() repeats.FleetRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.Fleet == nil {
		return repeats.FleetRecord{}
	}
	return *s.now.Fleet
}

// kept returns the refused requests that were entered.
func (s *testSource) kept() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refused)
}

// keptParts returns the refused sets of parts that were entered.
func (s *testSource) keptParts() []partquarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusedParts)
}

func (s *testSource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// backendServer simulates a backend server; run answers each request on the raw connection and
// reports whether the connection is kept.
type backendServer struct {
	id, address string

	mu   sync.Mutex
	ran  []string
	last http.Header
}

func (b *backendServer) runs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.ran...)
}

func newBackend(t testing.TB, id string, run func(w io.Writer, req *http.Request) bool) *backendServer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	b := &backendServer{id: id, address: lis.Addr().String()}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, run)
		}
	}()
	return b
}

func (b *backendServer) serve(conn net.Conn, run func(w io.Writer, req *http.Request) bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		b.mu.Lock()
		b.ran = append(b.ran, req.Header.Get(testID))
		b.last = req.Header
		b.mu.Unlock()
		if !run(conn, req) {
			return
		}
	}
}

// ok answers with a marked success.
func ok(w io.Writer, req *http.Request) bool {
	return respond(w, req, http.StatusOK, testMark+": m\r\n", "hello")
}

func respond(w io.Writer, req *http.Request, status int, headers, body string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, testID, req.Header.Get(testID), headers, len(body), body)
	return err == nil
}

// events streams the events after the last that the caller has, up to n, then ends the stream
// or breaks it off.
func events(w io.Writer, req *http.Request, n int, pause time.Duration, broken bool) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", testMark)
	from, _ := strconv.Atoi(req.Header.Get(testLast))
	for i := from + 1; i <= n; i++ {
		text := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	if broken {
		_, _ = io.WriteString(w, "8\r\nid: 9")
		return false
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err == nil
}

// fixture is a router with backend servers.
type fixture struct {
	*qt.C
	router *Router
	source *testSource
	set    settings.Direct
	stop   chan struct{}
	ended  chan struct{}
}

// testRoutes returns the routes of every fixture, under one host.
func testRoutes() []routing.Route {
	to := []routing.Target{{Service: "app", Weight: 1}}
	const long = 3 * time.Second
	return []routing.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: routing.NonIdempotent, Timeout: long, Objective: time.Second, Targets: to, Attempts: 2, Public: true},
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.Idempotent, Timeout: long, Objective: time.Second, Targets: to, Attempts: 2, Public: true},
		{Name: "short", Host: "h", Prefix: "/short/", Kind: routing.Idempotent, Timeout: 150 * time.Millisecond, Objective: time.Second, Targets: to, Attempts: 1, Public: true},
		{Name: "keyed", Host: "h", Prefix: "/keyed/", Kind: routing.Idempotent, Timeout: long, Objective: time.Second, Targets: to, Attempts: 2},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Streaming, Timeout: long, Objective: time.Second, Targets: to, Attempts: 2, Public: true},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: routing.Streaming, Resumable: true, Timeout: long, Objective: time.Second, Targets: to, Attempts: 3, Public: true},
	}
}

func testConfig(version uint64) *routing.Config {
	return &routing.Config{
		Version: version, Routes: testRoutes(), Services: []routing.Service{{Name: "app"}},
		Teams:  []routing.Team{{Name: "team", Keys: []string{"key"}}},
		Limits: routing.Limits{BodyBytes: 1 << 20, IdleTimeout: 10 * time.Second},
	}
}

func servers(all ...*backendServer) []roster.Server {
	var out []roster.Server
	for _, b := range all {
		out = append(out, roster.Server{ID: b.id, Address: b.address, Service: "app", Slots: 8})
	}
	return out
}

// start runs a router with the snapshot; a nil configuration means none yet.
func start(t testing.TB, c *routing.Config, backends ...*backendServer) *fixture {
	return startWith(t, c, func(*settings.Direct, *testSource) {}, backends...)
}

// startPeer runs a router that exchanges messages with others.
func startPeer(t testing.TB, id string, c *routing.Config, backends ...*backendServer) *fixture {
	return startWith(t, c, func(set *settings.Direct, _ *testSource) {
		set.ID, set.Listen.Peers = id, freeAddress(qt.New(t))
	}, backends...)
}

func startWith(t testing.TB, c *routing.Config, change func(*settings.Direct, *testSource), backends ...*backendServer) *fixture {
	return startLogged(t, c, log.NewNopLogger(), change, backends...)
}

// startLogged runs a router that logs to the logger.
func startLogged(t testing.TB, c *routing.Config, logger log.Logger, change func(*settings.Direct, *testSource), backends ...*backendServer) *fixture {
	f := &fixture{C: qt.New(t), stop: make(chan struct{}), ended: make(chan struct{})}
	f.source = &testSource{now: mirror.Snapshot{Config: c, Servers: servers(backends...), Routers: map[string]mirror.Registration{}, Revision: 1}, changes: make(chan mirror.Delta, 16)}
	f.set = settings.DefaultDirect()
	f.set.ID, f.set.Listen.Callers, f.set.Listen.Health = "router", freeAddress(f.C), freeAddress(f.C)
	f.set.Stop = settings.Stop{Linger: settings.Duration(100 * time.Millisecond), Bound: settings.Duration(1500 * time.Millisecond)}
	f.set.EventDelay = 0
	change(&f.set, f.source)
	cfg := Config{
		Admission: admission.DefaultConfig(), Roster: roster.DefaultConfig(), Backend: backend.DefaultConfig(),
		Repeats:    repeats.Config{Window: 10 * time.Second, Ratio: 0.2, Allowance: 40, Use: 1},
		Quarantine: quarantine.DefaultConfig(), Warmup: testWarmup(), Staleness: staleness.DefaultConfig(), Freshness: 400 * time.Millisecond,
	}
	f.router = New(f.set, cfg, f.source, testDialect{}, logger)
	// The router has earned its part of the allowance.
	f.router.startedAt = time.Now().Add(-time.Minute)
	go func() {
		defer close(f.ended)
		if err := f.router.Serve(f.stop); err != nil {
			f.Error(err)
		}
	}()
	t.Cleanup(f.end)
	f.waitListening()
	if c != nil {
		f.waitReady()
	}
	return f
}

// testWarmup limits cold servers to 8 requests a second at a rate of 2.
func testWarmup() warmup.Config {
	c := warmup.DefaultConfig()
	c.Overrun, c.Slack = 1.5, 5
	return c
}

// The ports of the tests are below those that the kernel uses for outgoing connections, one of
// which may be taken between the choice and the bind, and below those of the fleets of
// bench/fleet, which may run at the same time.
const (
	firstPort = 10000
	ports     = 10000
)

// handedOut are the ports that freeAddress returned: tests that run in parallel choose before
// they bind.
var handedOut sync.Map

// freeAddress returns an address that nobody listens on and that no other test got.
func freeAddress(c *qt.C) string {
	for range ports {
		port := firstPort + rand.IntN(ports)
		if _, taken := handedOut.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if lis, err := net.Listen("tcp", address); err == nil {
			_ = lis.Close()
			return address
		}
	}
	c.Fatal("no free port")
	return ""
}

func (f *fixture) end() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	// A second request to stop ends the requests in flight at once.
	f.router.Abort()
	<-f.ended
}

func (f *fixture) waitListening() {
	for range 500 {
		if conn, err := net.Dial("tcp", f.set.Listen.Callers); err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	f.Fatal("the router does not listen")
}

func (f *fixture) waitReady() {
	for range 500 {
		if f.ready() == http.StatusOK {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	f.Fatal("the router is not ready")
}

// ready queries the readiness as the load balancer does.
func (f *fixture) ready() int {
	resp, err := http.Get("http://" + f.set.Listen.Health + "/readyz")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// reply is an answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request on its own connection.
func (f *fixture) call(path, id string, headers ...string) reply {
	return f.send(path, id, "body", headers...)
}

// send sends one request with the body on its own connection.
func (f *fixture) send(path, id, body string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.set.Listen.Callers+path, strings.NewReader(body))
	f.Assert(err, qt.IsNil)
	req.Host, req.Close = "h", true
	req.Header.Set(testID, id)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(answer), err: err}
}
