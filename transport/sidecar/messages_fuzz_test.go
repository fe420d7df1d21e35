package sidecar

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"goldcrestport/coordination/share"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/attempts"
	"goldcrestport/state/ledger"
)

// fakeStream is a router's end of a stream: it delivers the messages, waits up
// to fakeWait for the end of the stream and closes.
type fakeStream[Up, Down any] struct {
	drpc.Stream
	ctx context.Context

	mu   sync.Mutex
	ups  []Up
	sent []Down
	// last reports whether the message is the last one of the stream.
	last   func(Down) bool
	ended  chan struct{}
	finish sync.Once
	// wait is how long the stream stays open after its last message.
	wait time.Duration
}

// fakeWait is how long a stream stays open after its last message, unless it is set otherwise.
const fakeWait = 20 * time.Millisecond

func newFakeStream[Up, Down any](ctx context.Context, last func(Down) bool, ups ...Up) *fakeStream[Up, Down] {
	return &fakeStream[Up, Down]{ctx: ctx, ups: ups, last: last, ended: make(chan struct{}), wait: fakeWait}
}

func (f *fakeStream[Up, Down]) Context() context.Context { return f.ctx }

func (f *fakeStream[Up, Down]) Close() error {
	f.finish.Do(func() { close(f.ended) })
	return nil
}

func (f *fakeStream[Up, Down]) Send(m Down) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, m)
	if f.last(m) {
		return f.Close()
	}
	return nil
}

func (f *fakeStream[Up, Down]) Recv() (up Up, err error) {
	f.mu.Lock()
	if len(f.ups) > 0 {
		up, f.ups = f.ups[0], f.ups[1:]
		f.mu.Unlock()
		return up, nil
	}
	f.mu.Unlock()
	select {
	case <-f.ended:
	case <-time.After(f.wait):
	}
	return up, io.EOF
}

// fuzzTeams is the maximum number of teams in the ledger under test.
const fuzzTeams = 8

// newFuzzSidecar returns a sidecar that holds its slot and calls the backend
// server at the URL.
func newFuzzSidecar(c *qt.C, url string) *Sidecar {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	s := startSlot(ctx, newSlotStore(), "127.0.0.1:1")
	s.backend = newBackend(url)
	c.Cleanup(func() {
		s.backend.keepAlive.CloseIdleConnections()
		s.backend.singleUse.CloseIdleConnections()
	})
	go s.limits.run(ctx)
	for range 1000 {
		if mayStart(s) {
			return s
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatal("the sidecar did not acquire its slot")
	return nil
}

// checkHealthy checks that the sidecar still responds, and that every number it
// would send to others is finite.
func checkHealthy(c *qt.C, s *Sidecar) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ok := s.scheduler.runQuery(ctx, func(core *share.State) {
		core.Step(time.Now(), share.Interest{Router: "probe", Team: "a", Count: 1})
		core.Step(time.Now(), share.Ticked{})
		core.TeamCosts(func(team string, cost float64) { c.Check(wire.Amount(cost), qt.Equals, cost, qt.Commentf("%q", team)) })
		counters, ahead := core.Snapshot()
		c.Check(len(counters) <= ledger.DefaultConfig().MaxRemotes+ledger.DefaultConfig().MaxTeams, qt.IsTrue)
		for _, k := range counters {
			c.Check(wire.Amount(k.Served), qt.Equals, k.Served)
		}
		for team, v := range ahead {
			c.Check(math.IsNaN(v) || math.IsInf(v, 0), qt.IsFalse, qt.Commentf("%q: %v", team, v))
		}
	})
	c.Assert(ok, qt.IsTrue)
}

// lastOfRun reports whether the message ends a Run stream.
func lastOfRun(m *wire.RunDown) bool {
	return m.GetDeclined() != nil || m.GetEnd() != nil || m.Last != nil
}

// checkRun passes the messages to Run and checks that the stream ends with an
// error, a decline or an end with one of the four outcomes.
func checkRun(c *qt.C, s *Sidecar, ups ...*wire.RunUp) {
	stream := newFakeStream(context.Background(), lastOfRun, ups...)
	if s.Run(stream) != nil {
		return
	}
	c.Assert(len(stream.sent) > 0, qt.IsTrue)
	last := stream.sent[len(stream.sent)-1]
	c.Assert(lastOfRun(last), qt.IsTrue)
	end := last.GetEnd()
	if end == nil {
		end = last.Last
	}
	if end == nil {
		return
	}
	switch outcome.Kind(end.Outcome) {
	case outcome.Completed, outcome.NotRun, outcome.Failed, outcome.Unknown:
	default:
		c.Errorf("outcome %q", end.Outcome)
	}
	c.Check(wire.Amount(end.Cost), qt.Equals, end.Cost)
}

// decoded decodes the message, or returns false if drpc would refuse the bytes
// before calling a handler.
func decoded[M proto.Message](data []byte, m M) (M, bool) {
	return m, proto.Unmarshal(data, m) == nil
}

// Kinds of messages that FuzzMessages sends.
const (
	fuzzRun = iota
	fuzzControl
	fuzzSettle
	fuzzExchange
	fuzzConfig
	fuzzKinds
)

func feed(c *qt.C, s *Sidecar, kind int, first, second []byte) {
	ctx := context.Background()
	switch kind {
	case fuzzRun:
		a, ok1 := decoded(first, &wire.RunUp{})
		b, ok2 := decoded(second, &wire.RunUp{})
		if ok1 && ok2 {
			checkRun(c, s, a, b)
		}
	case fuzzControl:
		a, ok1 := decoded(first, &wire.ControlUp{})
		b, ok2 := decoded(second, &wire.ControlUp{})
		if ok1 && ok2 {
			never := func(*wire.ControlDown) bool { return false }
			_ = s.Control(newFakeStream(ctx, never, a, b))
		}
	case fuzzSettle:
		if m, ok := decoded(first, &wire.SettleRequest{}); ok {
			resp, err := s.Settle(ctx, m)
			c.Check((resp == nil) == (err != nil), qt.IsTrue)
		}
	case fuzzExchange:
		if m, ok := decoded(first, &wire.Counters{}); ok {
			resp, err := s.Exchange(ctx, m)
			c.Check((resp == nil) == (err != nil), qt.IsTrue)
		}
	case fuzzConfig:
		if m, ok := decoded(first, &wire.ConfigRequest{}); ok {
			_, err := s.Config(ctx, m)
			c.Check(err, qt.IsNil)
		}
	}
}

// seedMessages adds messages with extreme values of their types.
func seedMessages(f *testing.F) {
	add := func(kind int, messages ...proto.Message) {
		var data [2][]byte
		for i, m := range messages {
			var err error
			data[i], err = proto.Marshal(m)
			qt.Assert(f, err, qt.IsNil)
		}
		f.Add(uint8(kind), data[0], data[1])
	}
	start := func(change func(*wire.RunStart)) *wire.RunUp {
		st := startOf("GET", "/x", true, "")
		st.Team, st.Service = "a", "s"
		change(st)
		return &wire.RunUp{Kind: &wire.RunUp_Start{Start: st}}
	}
	ack := &wire.RunUp{Kind: &wire.RunUp_Ack{Ack: &wire.RunAck{Offset: math.MinInt64}}}
	add(fuzzRun, start(func(*wire.RunStart) {}), ack)
	add(fuzzRun, start(func(st *wire.RunStart) { st.Estimate, st.DeadlineMs = math.NaN(), math.MaxInt64 }), ack)
	add(fuzzRun, start(func(st *wire.RunStart) { st.Estimate, st.DeadlineMs = math.Inf(1), math.MinInt64 }), ack)
	add(fuzzRun, start(func(st *wire.RunStart) { st.Body, st.BodyRest = []byte("x"), math.MaxInt64 }),
		&wire.RunUp{Kind: &wire.RunUp_Body{Body: &wire.RunBody{Data: []byte("yz")}}})
	add(fuzzRun, start(func(st *wire.RunStart) { st.Path = "1/x" }), ack)
	add(fuzzRun, start(func(st *wire.RunStart) { st.Method, st.Headers = " ", []*wire.Header{{Name: "\n", Value: "\x00"}} }), ack)
	add(fuzzRun, start(func(st *wire.RunStart) { st.Attempt = nil }), ack)
	add(fuzzRun, start(func(st *wire.RunStart) { st.Resume, st.FromOffset = true, math.MinInt64 }), ack)
	hello := &wire.ControlUp{Hello: &wire.Hello{Router: "r", Address: "127.0.0.1:1", ConfigAgeMs: math.MinInt64}}
	add(fuzzControl, hello, &wire.ControlUp{
		Interests: []*wire.Interest{{Team: "a", Count: math.MaxUint32, OldestMs: math.MinInt64, Spread: math.MaxUint32}, {}},
		Empties:   []*wire.PullEmpty{{Pull: 1}}, Beat: &wire.RouterBeat{ConfigAgeMs: math.MaxInt64}, Listed: 7,
	})
	add(fuzzSettle, &wire.SettleRequest{Attempt: &wire.Attempt{RequestId: "r"}, AgeMs: math.MaxInt64})
	add(fuzzSettle, &wire.SettleRequest{})
	for _, served := range []float64{1, -1, math.NaN(), math.Inf(1), math.MaxFloat64} {
		add(fuzzExchange, &wire.Counters{Sender: "x", WantAll: true, Counters: []*wire.Counter{
			{Team: "a", Served: served, Ahead: served}, {Writer: "w", Team: "b", Served: served}, {},
		}})
	}
	add(fuzzConfig, &wire.ConfigRequest{Revision: math.MaxUint64, WantInstances: true})
}

// Whatever a peer sends: no handler panics, each call returns, and the sidecar
// continues to serve with finite counters.
func FuzzMessages(f *testing.F) {
	seedMessages(f)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	f.Cleanup(srv.Close)
	f.Fuzz(func(t *testing.T, kind uint8, first, second []byte) {
		c := qt.New(t)
		s := newFuzzSidecar(c, srv.URL)
		feed(c, s, int(kind)%fuzzKinds, first, second)
		checkHealthy(c, s)
		checkRun(c, s, &wire.RunUp{Kind: &wire.RunUp_Start{Start: startOf("GET", "/after", true, "")}})
	})
}

// Guards against unbounded memory use: the teams named in peers' messages do not
// exceed the ledger's limit.
func TestPeersCannotGrowTheLedgerWithoutBound(t *testing.T) {
	c := qt.New(t)
	cfg := share.DefaultConfig()
	cfg.Ledger.MaxTeams = fuzzTeams
	core := share.New(cfg)
	ev := share.CountersReceived{Ahead: map[string]float64{}}
	for i := range 10 * fuzzTeams {
		team := string(rune('A' + i))
		ev.Counters = append(ev.Counters, ledger.Counter{Writer: "w", Incarnation: "1", Team: team, Served: 1})
		ev.Ahead[team+"'"] = 1
	}
	core.Step(time.Now(), ev)
	teams := 0
	core.TeamCosts(func(string, float64) { teams++ })
	c.Assert(teams, qt.Equals, fuzzTeams)
}

// Guards against integer overflow in the check of the announced body length.
func TestBodyBeyondTheBoundIsRefused(t *testing.T) {
	for _, rest := range []int64{-1, maxBody, math.MaxInt64} {
		st := &wire.RunStart{Body: []byte("x"), BodyRest: rest}
		stream := newFakeStream[*wire.RunUp, *wire.RunDown](context.Background(), lastOfRun)
		_, err := readBody(stream, st)
		qt.Assert(t, err, qt.ErrorMatches, "run: body too large")
	}
}

// A path without a leading slash must not change the host or port of the backend
// server's URL.
func TestPathCannotChangeTheBackendAddress(t *testing.T) {
	for _, path := range []string{"", "1/x", "@127.0.0.1:1/", ".example"} {
		_, err := newBackend("http://127.0.0.1:1").do(context.Background(), startOf("GET", path, true, ""), nil)
		qt.Assert(t, err, qt.ErrorMatches, "the path has no leading slash")
		qt.Assert(t, errors.Is(err, errNotWritten), qt.IsTrue)
	}
}

// A router whose id equals the name of another drain source must not end that
// source's drain.
func TestRouterEndsOnlyItsOwnDrain(t *testing.T) {
	for _, id := range []string{drainByLease, drainByConfig, drainByOrders} {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		s := New(settings.DefaultSidecar(), newSlotStore(), nil, log.NewNopLogger())
		s.ctx = ctx
		s.drain.set(ctx, id, true)
		never := func(*wire.ControlDown) bool { return false }
		hello := &wire.ControlUp{Hello: &wire.Hello{Router: id}}
		listed := &wire.ControlUp{Listed: wire.Listed_LISTED_LIVE}
		c.Assert(s.Control(newFakeStream(ctx, never, hello, listed)), qt.IsNil)
		s.drain.mu.Lock()
		c.Check(s.drain.sources[id], qt.IsTrue, qt.Commentf(id))
		s.drain.mu.Unlock()
		cancel()
	}
}

// An acknowledgement far below the buffered offsets discards nothing.
func TestAckBelowTheBufferDiscardsNothing(t *testing.T) {
	c := qt.New(t)
	a := newResponseBuffer(8)
	c.Assert(a.write(context.Background(), []byte("1234")), qt.IsNil)
	a.ack(2)
	a.ack(math.MinInt64)
	c.Assert(string(a.buf), qt.Equals, "34")
	c.Assert(a.base, qt.Equals, int64(2))
}

// Guards against an age whose conversion to nanoseconds overflows to a short one.
// The attempt is older than the table remembers, so it may have run and been
// forgotten, and must not be blocked as never seen.
func TestOverflowingAgeCountsAsLong(t *testing.T) {
	c := qt.New(t)
	const wraps = 18446744073710 // milliseconds; 448 microseconds more than 2^64 ns
	cfg := attempts.DefaultConfig()
	cfg.KnownFor = time.Nanosecond
	for _, age := range []int64{wraps, math.MaxInt64} {
		r := newRuns("i", cfg)
		forgotten := attempts.ID{Request: "forgotten"}
		r.offer(forgotten)
		r.decline(forgotten)
		time.Sleep(2 * time.Millisecond)
		req := &wire.SettleRequest{Attempt: &wire.Attempt{RequestId: "r"}, AgeMs: age}
		c.Check(r.settle(req).Phase, qt.Equals, attempts.Unsure)
	}
}

// A response with an invalid HTTP status counts as a failure.
func TestResponseWithInvalidStatusFails(t *testing.T) {
	c := qt.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = lis.Close() })
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, readSize))
		_, _ = io.WriteString(conn, "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok")
		_ = conn.Close()
	}()
	s := newFuzzSidecar(c, "http://"+lis.Addr().String())
	start := &wire.RunUp{Kind: &wire.RunUp_Start{Start: startOf("GET", "/x", true, "")}}
	stream := newFakeStream(context.Background(), lastOfRun, start)
	c.Assert(s.Run(stream), qt.IsNil)
	c.Assert(stream.sent, qt.HasLen, 1)
	c.Check(stream.sent[0].GetEnd().GetOutcome(), qt.Equals, string(outcome.Failed))
}
