package sidecar

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/limit"
	"goldcrestport/coordination/share"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/observe"
)

// testLimits returns the limits event loop and a channel that receives the
// number of slots of its SlotsSet events.
func testLimits(kind config.ServiceKind, load func(context.Context) (*limit.Report, error)) (*limits, <-chan int) {
	set := settings.DefaultSidecar().Backend
	slots := make(chan int, 100)
	return &limits{
		limiter:  limit.New(limitConfig(set)),
		health:   limit.NewHealth(health.DefaultConfig()),
		kind:     func() config.ServiceKind { return kind },
		load:     load,
		setSlots: func(_ context.Context, ev share.SlotsSet) { slots <- ev.Slots },
		runs:     make(chan runEvent, eventQueueSize),
		samples:  make(chan sample, sampleQueueSize),
		reports:  make(chan *limit.Report, 1),
		first:    hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		gap:      hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		slots:    set.Slots,
		vars:     newLimitVars(observe.NewVars()),
	}, slots
}

// next waits for the next number of slots.
func next(c *qt.C, slots <-chan int) int {
	select {
	case n := <-slots:
		return n
	case <-time.After(10 * time.Second):
		c.Fatal("no SlotsSet event within 10 s")
		return 0
	}
}

func TestFailingBackendServerGetsProbesOnly(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, slots := testLimits(config.KindPlain, nil)
	go l.run(ctx)
	run := func(key uint64, end *wire.End) {
		a := &attempt{key: key, start: &wire.RunStart{Team: "a"}}
		l.runStarted(ctx, a)
		l.runEnded(ctx, a, end)
	}
	for i := range 5 {
		run(uint64(i), &wire.End{Outcome: string(outcome.Unknown), Reason: string(outcome.ReasonBackend)})
	}
	c.Assert(next(c, slots), qt.Equals, 0)
	c.Assert(next(c, slots), qt.Equals, 1)
	for i := range 3 {
		run(uint64(10+i), &wire.End{Outcome: string(outcome.Completed)})
	}
	c.Assert(next(c, slots), qt.Equals, 8)
}

func TestSlowTokensLowerTheLimit(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, slots := testLimits(config.KindModel, func(context.Context) (*limit.Report, error) { return &limit.Report{Slots: 6}, nil })
	go l.run(ctx)
	c.Assert(next(c, slots), qt.Equals, 6, qt.Commentf("the limit must not exceed the engine's slots"))
	go func() {
		for ctx.Err() == nil {
			l.samples <- sample{time: 80 * time.Millisecond, n: 10}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	c.Assert(next(c, slots), qt.Equals, 4) // 6 x max(50/80, 0.7)
}

// chunkedBody is a body that arrives in chunks with pauses between them.
type chunkedBody struct {
	chunks []string
	pause  time.Duration
}

func (p *chunkedBody) Read(b []byte) (int, error) {
	if len(p.chunks) == 0 {
		return 0, io.EOF
	}
	time.Sleep(p.pause)
	n := copy(b, p.chunks[0])
	p.chunks = p.chunks[1:]
	return n, nil
}

func TestTokensAreTimed(t *testing.T) {
	c := qt.New(t)
	l, _ := testLimits(config.KindModel, nil)
	const pause = 50 * time.Millisecond
	body := &chunkedBody{[]string{"data: 1\n\n", "data: 2\n\ndata: 3\n\n", "data", ": 4\n\n"}, pause}
	resp := &http.Response{Header: http.Header{"Content-Type": {eventStream}}, Body: io.NopCloser(body)}
	_, err := io.ReadAll(l.timeTokens(trackBody(resp), time.Now().Add(-time.Second)))
	c.Assert(err, qt.IsNil)
	c.Assert(l.samples, qt.HasLen, 3)
	first, two, split := <-l.samples, <-l.samples, <-l.samples
	c.Check(first.first && first.time >= time.Second+pause, qt.IsTrue, qt.Commentf("%v", first))
	c.Check(two.n == 2 && two.time >= pause/2 && two.time < split.time, qt.IsTrue, qt.Commentf("%v", two))
	c.Check(split.n == 1 && split.time >= 2*pause, qt.IsTrue, qt.Commentf("%v", split))
	whole := &http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}\n\n"))}
	_, _ = io.ReadAll(l.timeTokens(trackBody(whole), time.Now()))
	c.Check(l.samples, qt.HasLen, 0)
}

func TestLoadReportIsRead(t *testing.T) {
	c := qt.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"running":3,"waiting":2,"slots":6,"as_of_ms":1}`)
	}))
	defer server.Close()
	b := newBackend(server.URL)
	r, err := b.load(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(*r, qt.Equals, limit.Report{Running: 3, Waiting: 2, Slots: 6})
	status = http.StatusNotFound
	_, err = b.load(context.Background())
	c.Assert(err, qt.ErrorMatches, "load: status 404")
}

func TestRecentPrefixes(t *testing.T) {
	var r prefixHistory
	for _, p := range []uint64{1, 2, 0, 3, 1, 4, 5} {
		r.add(p)
	}
	qt.Assert(t, r.list(), qt.DeepEquals, []uint64{5, 4, 1, 3})
}
