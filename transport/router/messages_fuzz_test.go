package router

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
)

// fakeControl is a control stream that receives the given messages and then
// ends.
type fakeControl struct {
	drpc.Stream
	downs []*wire.ControlDown
}

func (f *fakeControl) Send(*wire.ControlUp) error { return nil }

func (f *fakeControl) Recv() (*wire.ControlDown, error) {
	if len(f.downs) == 0 {
		return nil, io.EOF
	}
	m := f.downs[0]
	f.downs = f.downs[1:]
	return m, nil
}

func marshalled(f *testing.F, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	qt.Assert(f, err, qt.IsNil)
	return data
}

// handleAll handles the queued messages without the dispatcher's goroutine.
func (d *dispatcher) handleAll() {
	for {
		select {
		case m := <-d.messages:
			d.handle(m)
		default:
			return
		}
	}
}

// Guards against panics for arbitrary messages of a sidecar on its control
// stream. A request gets at most one decision at a time.
func FuzzControl(f *testing.F) {
	for _, m := range []*wire.ControlDown{
		{},
		{Load: &wire.Load{Slots: 4, Free: 4}},
		{Load: &wire.Load{Slots: math.MinInt32, Free: math.MaxInt32, Waiting: math.MinInt32, ConfigAgeMs: math.MinInt64}},
		{Load: &wire.Load{Slots: math.MaxInt32, Free: math.MinInt32, Ejected: true, Leaving: true}, Pulls: []*wire.Pull{{Pull: 1}}},
		{Pulls: []*wire.Pull{{Pull: math.MaxUint64, Team: "a", Prefixes: []uint64{0, 1}}, {}}},
	} {
		for _, before := range []bool{false, true} {
			f.Add(marshalled(f, m), marshalled(f, &wire.ControlDown{Load: &wire.Load{Slots: 1, Free: 1}}), before)
		}
	}
	f.Fuzz(func(t *testing.T, first, second []byte, before bool) {
		var a, b wire.ControlDown
		if proto.Unmarshal(first, &a) != nil || proto.Unmarshal(second, &b) != nil {
			return // drpc rejects them before any handler
		}
		if len(a.Pulls)+len(b.Pulls) > eventQueueSize/2 {
			return // more than the channel's capacity without the goroutine
		}
		c := qt.New(t)
		r := New(settings.DefaultRouter(), nil, nil, log.NewNopLogger())
		l := &sidecarLink{id: "s", out: make(chan *wire.ControlUp, controlQueueSize), overflow: make(chan struct{})}
		r.dispatcher.handle(message{link: l, event: dispatch.SidecarUp{Sidecar: l.id, Service: "llm"}})
		decisions := make(chan decision, 2)
		arrive := func() {
			now := time.Now()
			req := dispatch.Request{ID: "r", Service: "llm", Team: "a", Deadline: now.Add(time.Minute)}
			r.dispatcher.handle(message{call: &call{id: "r", decisions: decisions}, event: dispatch.Arrived{Request: req}})
		}
		if before {
			arrive()
		}
		err := r.receiveLink(context.Background(), &fakeControl{downs: []*wire.ControlDown{&a, &b}}, l)
		c.Check(err, qt.ErrorIs, io.EOF)
		r.dispatcher.handleAll()
		if !before {
			arrive()
		}
		r.dispatcher.handle(message{event: dispatch.Ticked{}})
		c.Check(len(decisions) <= 1, qt.IsTrue)
	})
}

// Guards against panics for arbitrary answers of a sidecar. The caller gets a
// valid HTTP status, and its bytes are those of the consecutive chunks.
func FuzzAnswer(f *testing.F) {
	odd := func(status int32) *wire.RunDown {
		return &wire.RunDown{Kind: &wire.RunDown_Head{Head: &wire.Head{
			Status: status, Incarnation: "i", Headers: []*wire.Header{{Name: "\n", Value: "\x00"}, {}},
		}}, First: &wire.Chunk{Attempt: 2, Data: []byte("ab")}}
	}
	for _, status := range []int32{200, 0, 99, 101, 204, 304, 999, 1000, -1, math.MinInt32} {
		f.Add(marshalled(f, odd(status)), marshalled(f, chunk(2, 2, "cd")), marshalled(f, end(2, 4, "abcd")))
	}
	f.Add(marshalled(f, head("i")), marshalled(f, chunk(2, math.MinInt64, "x")), marshalled(f, end(2, math.MinInt64, "")))
	f.Fuzz(func(t *testing.T, first, second, third []byte) {
		c := qt.New(t)
		w := httptest.NewRecorder()
		l := newRelay(w, "r", newMetrics())
		l.expect(2, "i")
		var want strings.Builder
		for _, data := range [][]byte{first, second, third} {
			var m wire.RunDown
			if proto.Unmarshal(data, &m) != nil {
				return // drpc rejects it before any handler
			}
			state := l.handle(&m)
			for _, part := range []*wire.Chunk{m.GetChunk(), m.First} {
				if part != nil && l.wrote && part.Attempt == 2 && part.Offset == int64(want.Len()) && l.offset > part.Offset {
					want.Write(part.Data)
				}
			}
			if state == relayEnded {
				complete := l.complete()
				c.Check(complete && l.end.Length != l.offset, qt.IsFalse)
			}
			if state != relayOpen {
				break
			}
		}
		c.Check(w.Body.String(), qt.Equals, want.String())
		c.Check(int64(w.Body.Len()), qt.Equals, l.offset)
		if l.wrote {
			c.Check(l.status >= http.StatusOK && l.status <= maxStatus, qt.IsTrue)
		}
	})
}
