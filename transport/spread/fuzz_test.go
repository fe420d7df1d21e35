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

// fixedAsker is an Asker that returns the same response to every request.
type fixedAsker struct{ resp *wire.ConfigResponse }

func (o fixedAsker) Ask(context.Context, Peer, *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	return o.resp, nil
}

// processQueued processes the queued messages on the caller's goroutine.
func (s *Spreader) processQueued(ctx context.Context) {
	for {
		select {
		case m := <-s.messages:
			s.setDocument(m.doc)
			s.step(ctx, m.event)
		default:
			return
		}
	}
}

// FuzzPeerAnswers guards against malformed or hostile peer responses: whatever a
// peer answers, the revision in force never decreases, no confirmation or list is
// dated in the future, and the document passed on to other peers can be decoded.
func FuzzPeerAnswers(f *testing.F) {
	doc, err := document.Encode(testDocument(9))
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
			return // drpc rejects it before it reaches a handler
		}
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := corespread.DefaultConfig()
		cfg.Self = "me"
		store := &fakeStore{}
		store.down.Store(true)
		s := New(Options{Self: cfg, Store: store, Directory: store, Asker: fixedAsker{&resp}, Log: log.NewNopLogger()})
		s.setDocument(testDocument(7))
		for range 2 {
			s.fetch(ctx, "router@a")
			s.fetchInstances(ctx)
			s.processQueued(ctx)
			c.Check(s.Revision() >= 7, qt.IsTrue)
			c.Check(s.Age() >= 0, qt.IsTrue)
			c.Check(s.list.Load().asOf.After(time.Now()), qt.IsFalse)
		}
		answer, err := s.Answer(&wire.ConfigRequest{WantInstances: true})
		c.Assert(err, qt.IsNil)
		if len(answer.Document) > 0 {
			_, err = document.Decode(answer.Document)
			c.Check(err, qt.IsNil)
		}
	})
}
