package spread

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	corespread "goldcrestport/coordination/spread"
	"goldcrestport/protocol/document"
	"goldcrestport/protocol/wire"
)

// oneAnswer is a peer that gives the same answer to every question.
type oneAnswer struct{ resp *wire.ConfigResponse }

func (o oneAnswer) Ask(context.Context, Peer, *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	return o.resp, nil
}

// drain performs what the Spreader was told, without its own goroutine.
func (s *Spreader) drain(ctx context.Context) {
	for {
		select {
		case m := <-s.messages:
			s.take(m.doc)
			s.step(ctx, m.event)
		default:
			return
		}
	}
}

// Whatever a peer answers: the revision in force never falls, no knowledge is
// newer than now, and what is then handed on can be read by the next.
func FuzzPeerAnswers(f *testing.F) {
	doc, err := document.Encode(document1(9))
	qt.Assert(f, err, qt.IsNil)
	for _, m := range []*wire.ConfigResponse{
		{Revision: 9, Document: doc},
		{Revision: 9, Document: []byte("null"), ConfigAgeMs: math.MinInt64},
		{Revision: 8, Patches: [][]byte{[]byte(`{"from":7,"to":8,"patch":{}}`), []byte(`null`)}},
		{Revision: 1, Patches: [][]byte{[]byte(`{"from":7,"to":1,"patch":null,"back":{}}`)}, ConfigAgeMs: math.MaxInt64},
		{InstancesDigest: 5, Instances: []byte(`[{"id":"a","role":"router","state":"live"}]`), InstancesAgeMs: -100000},
		{InstancesDigest: 5, Instances: []byte(`null`), InstancesAgeMs: math.MaxInt64},
	} {
		data, err := proto.Marshal(m)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var resp wire.ConfigResponse
		if proto.Unmarshal(data, &resp) != nil {
			return // drpc refuses it before any handler
		}
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := corespread.DefaultConfig()
		cfg.Self = "me"
		store := &fakeStore{}
		store.down.Store(true)
		s := New(Options{Self: cfg, Store: store, Directory: store, Asker: oneAnswer{&resp}, Log: log.NewNopLogger()})
		s.take(document1(7))
		for range 2 {
			s.fetch(ctx, "router@a")
			s.askForInstances(ctx)
			s.drain(ctx)
			c.Check(s.Revision() >= 7, qt.IsTrue)
			c.Check(s.Age() >= 0, qt.IsTrue)
			c.Check(s.list.Load().asOf.After(time.Now()), qt.IsFalse)
		}
		handed, err := s.Answer(&wire.ConfigRequest{WantInstances: true})
		c.Assert(err, qt.IsNil)
		if len(handed.Document) > 0 {
			_, err = document.Decode(handed.Document)
			c.Check(err, qt.IsNil)
		}
	})
}
