package spread

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	corespread "goldcrestport/coordination/spread"
	"goldcrestport/protocol/document"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// fakeStore stores the configuration; while down is set, every Get fails.
type fakeStore struct {
	platform.Store
	value atomic.Pointer[platform.Entry]
	down  atomic.Bool
}

func (f *fakeStore) Get(context.Context, string) (platform.Entry, error) {
	if f.down.Load() {
		return platform.Entry{}, platform.ErrUnknown
	}
	if e := f.value.Load(); e != nil {
		return *e, nil
	}
	return platform.Entry{}, platform.ErrNotFound
}

func (f *fakeStore) Instances(context.Context) ([]platform.Instance, error) {
	return nil, platform.ErrUnknown
}

func (f *fakeStore) put(c *qt.C, d *config.Document) {
	data, err := document.Encode(d)
	c.Assert(err, qt.IsNil)
	f.value.Store(&platform.Entry{Key: ConfigKey, Value: data, Version: d.Revision})
}

// fakePeers is an Asker that forwards requests to Spreaders by address.
type fakePeers struct{ at map[string]*Spreader }

func (f fakePeers) Ask(_ context.Context, p Peer, req *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	s := f.at[p.Address]
	if s == nil {
		return nil, errors.New("unreachable")
	}
	return s.Answer(req)
}

func testDocument(revision uint64) *config.Document {
	return &config.Document{
		Revision: revision,
		Teams:    map[string]config.Team{fmt.Sprint("team", revision): {Share: float64(revision)}},
		Services: map[string]config.Service{"s": {Kind: config.KindModel}},
	}
}

func startSpreader(c *qt.C, store *fakeStore, peers fakePeers, seeds ...Peer) *Spreader {
	cfg := corespread.DefaultConfig()
	cfg.Self, cfg.StartJitter = c.Name(), time.Millisecond
	s := New(Options{
		Self: cfg, Seeds: seeds, InstancesEvery: time.Second,
		Store: store, Directory: store, Asker: peers, Log: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go s.Run(ctx)
	return s
}

func eventually(c *qt.C, what string, cond func() bool) {
	c.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	c.Fatalf("timed out waiting for: %s", what)
}

func TestStartsFromPeersWhileThePlatformIsDown(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put(c, testDocument(4))
	peers := fakePeers{at: map[string]*Spreader{}}
	old := startSpreader(c, store, peers)
	eventually(c, "the first process reads the platform", func() bool { return old.Revision() == 4 })
	peers.at["a"] = old
	store.down.Store(true)
	fresh := startSpreader(c, store, peers, Peer{Role: platform.RoleRouter, Address: "a"})
	eventually(c, "the second process gets the document from its peer", func() bool { return fresh.Ready() == nil })
	c.Assert(config.Equal(fresh.Document(), old.Document()), qt.IsTrue)
}

func TestNotReadyWithNeitherPlatformNorPeer(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.down.Store(true)
	s := startSpreader(c, store, fakePeers{}, Peer{Role: platform.RoleRouter, Address: "gone"})
	eventually(c, "a fetch and a read have been made", func() bool { return s.Usage().Fetches > 0 && s.Usage().Reads > 0 })
	c.Assert(s.Ready(), qt.Equals, ErrNotReady)
	c.Assert(s.Stale(), qt.IsTrue)
}

// A peer that is behind receives patches, and applying them produces the document
// that was accepted.
func TestPatchesProduceTheSameDocument(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put(c, testDocument(1))
	peers := fakePeers{at: map[string]*Spreader{}}
	source := startSpreader(c, store, peers)
	behind := startSpreader(c, store, peers)
	eventually(c, "both have revision 1", func() bool { return source.Revision() == 1 && behind.Revision() == 1 })
	store.down.Store(true)
	peers.at["a"] = source
	for r := uint64(2); r <= 6; r++ {
		source.Accept(context.Background(), testDocument(r))
	}
	resp, err := source.Answer(&wire.ConfigRequest{Revision: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Patches, qt.HasLen, 5)
	c.Assert(resp.Document, qt.HasLen, 0)
	behind.Heard(Peer{Role: platform.RoleRouter, Address: "a"}, 6, 0)
	eventually(c, "revision 6 is in force", func() bool { return behind.Revision() == 6 })
	c.Assert(config.Equal(behind.Document(), source.Document()), qt.IsTrue)
}

// Many peers that start at once receive the same bytes, which are encoded once per
// revision.
func TestWholeDocumentIsEncodedOnce(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put(c, testDocument(1))
	s := startSpreader(c, store, fakePeers{})
	eventually(c, "revision 1 is in force", func() bool { return s.Revision() == 1 })
	first, err := s.Answer(&wire.ConfigRequest{})
	c.Assert(err, qt.IsNil)
	again, err := s.Answer(&wire.ConfigRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(&again.Document[0], qt.Equals, &first.Document[0])
	s.Accept(context.Background(), testDocument(2))
	next, err := s.Answer(&wire.ConfigRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(next.Revision, qt.Equals, uint64(2))
	c.Assert(next.Document, qt.Not(qt.DeepEquals), first.Document)
}

func TestOlderDocumentsNeverComeBack(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.put(c, testDocument(9))
	s := startSpreader(c, store, fakePeers{})
	eventually(c, "revision 9 is in force", func() bool { return s.Revision() == 9 })
	s.Accept(context.Background(), testDocument(3))
	c.Assert(s.Revision(), qt.Equals, uint64(9))
}
