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

// fakeStream is a router's end of a stream: it hands out the messages, waits
// a little for an end and closes.
type fakeStream[Up, Down any] struct {
	drpc.Stream
	ctx context.Context

	mu   sync.Mutex
	ups  []Up
	sent []Down
	// last tells that the message is the last one of the stream.
	last   func(Down) bool
	ended  chan struct{}
	finish sync.Once
}

// fakeWait is how long a stream stays open after its last message.
const fakeWait = 20 * time.Millisecond

func newFakeStream[Up, Down any](ctx context.Context, last func(Down) bool, ups ...Up) *fakeStream[Up, Down] {
	return &fakeStream[Up, Down]{ctx: ctx, ups: ups, last: last, ended: make(chan struct{})}
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
	case <-time.After(fakeWait):
	}
	return up, io.EOF
}

// fuzzTeams bounds the teams of the sidecars under the fuzzer.
const fuzzTeams = 8

// fuzzed returns a sidecar that holds its slot, before the backend server.
func fuzzed(c *qt.C, url string) *Sidecar {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	s := startSlot(ctx, newSlotStore(), "127.0.0.1:1")
	s.backend = newBackend(url)
	c.Cleanup(func() {
		s.backend.kept.CloseIdleConnections()
		s.backend.once.CloseIdleConnections()
	})
	go s.limits.run(ctx)
	for range 1000 {
		if serves(s) {
			return s
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatal("the slot is not held")
	return nil
}

// sound checks that the sidecar still answers, and that every number it would
// tell others is finite.
func sound(c *qt.C, s *Sidecar) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ok := s.chooser.ask(ctx, func(core *share.State) {
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

// checkRun gives the messages to Run: the stream ends with an error, a
// decline or an end whose outcome is one of the four.
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

// decoded returns the message of the bytes, or false if drpc would refuse
// them before any handler.
func decoded[M proto.Message](data []byte, m M) (M, bool) {
	return m, proto.Unmarshal(data, m) == nil
}

// Kinds of what FuzzMessages feeds.
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

// seedMessages adds messages with values at the edges of their types.
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

// Whatever a peer sends: no handler panics, each call ends, and the sidecar
// goes on serving with finite accounts.
func FuzzMessages(f *testing.F) {
	seedMessages(f)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	f.Cleanup(srv.Close)
	f.Fuzz(func(t *testing.T, kind uint8, first, second []byte) {
		c := qt.New(t)
		s := fuzzed(c, srv.URL)
		feed(c, s, int(kind)%fuzzKinds, first, second)
		sound(c, s)
		checkRun(c, s, &wire.RunUp{Kind: &wire.RunUp_Start{Start: startOf("GET", "/after", true, "")}})
	})
}

// Teams that peers tell of take no more room than the bound.
func TestPeersCannotGrowTheAccountsWithoutBound(t *testing.T) {
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

// A body length near the end of its type must not pass the bound.
func TestBodyBeyondTheBoundIsRefused(t *testing.T) {
	for _, rest := range []int64{-1, maxBody, math.MaxInt64} {
		st := &wire.RunStart{Body: []byte("x"), BodyRest: rest}
		stream := newFakeStream[*wire.RunUp, *wire.RunDown](context.Background(), lastOfRun)
		_, err := readBody(stream, st)
		qt.Assert(t, err, qt.ErrorMatches, "run: body too large")
	}
}

// A path that is none must not become a part of the backend server's address.
func TestPathStaysAtTheBackendServer(t *testing.T) {
	for _, path := range []string{"", "1/x", "@127.0.0.1:1/", ".example"} {
		_, err := newBackend("http://127.0.0.1:1").do(context.Background(), startOf("GET", path, true, ""), nil)
		qt.Assert(t, err, qt.ErrorMatches, "the path has no leading slash")
		qt.Assert(t, errors.Is(err, errNotWritten), qt.IsTrue)
	}
}

// A router whose id is the name of another source must not end that drain.
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

// An acknowledgement far below what is held forgets nothing.
func TestAckBelowTheAnswerForgetsNothing(t *testing.T) {
	c := qt.New(t)
	a := newAnswer(8)
	c.Assert(a.write(context.Background(), []byte("1234")), qt.IsNil)
	a.ack(2)
	a.ack(math.MinInt64)
	c.Assert(string(a.buf), qt.Equals, "34")
	c.Assert(a.base, qt.Equals, int64(2))
}

// An age whose nanoseconds wrap around is a long one: what is not known may
// have been forgotten, so it can't be blocked as never seen.
func TestLongAgeIsNoShortOne(t *testing.T) {
	c := qt.New(t)
	const wraps = 18446744073710 // milliseconds; 448 microseconds beyond 2^64 ns
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

// An answer whose status HTTP can't tell is none.
func TestAnswerWithoutStatusEndsAsFailed(t *testing.T) {
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
	s := fuzzed(c, "http://"+lis.Addr().String())
	start := &wire.RunUp{Kind: &wire.RunUp_Start{Start: startOf("GET", "/x", true, "")}}
	stream := newFakeStream(context.Background(), lastOfRun, start)
	c.Assert(s.Run(stream), qt.IsNil)
	c.Assert(stream.sent, qt.HasLen, 1)
	c.Check(stream.sent[0].GetEnd().GetOutcome(), qt.Equals, string(outcome.Failed))
}
