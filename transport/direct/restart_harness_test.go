package direct

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/originmsg"
	"goldcrestport/protocol/settings"
	"goldcrestport/transport/platform"
)

// originStore is what the store has of where streams began.
type originStore struct {
	mu      sync.Mutex
	batches map[string][]origin.Record
	writes  int
}

// KeepOrigins implements Source.
func (s *testSource) KeepOrigins(_ context.Context, router string, segment origin.Segment, _ string, _ time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.origins == nil {
		return "", platform.ErrUnknown
	}
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	s.origins.batches[fmt.Sprint(router, "/", segment.Number)] = slices.Clone(segment.Records)
	s.origins.writes++
	return "1", nil
}

// all returns all records.
func (o *originStore) all() []origin.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Concat(slices.Collect(maps.Values(o.batches))...)
}

// startApart starts routers, each in a data centre of its own, and keeps where streams began in one
// store if there is one.
func startApart(t testing.TB, routers int, store *originStore, entries ...roster.Server) *resumeFleet {
	f := newResumeFleet(t, routers)
	f.served = recordsOf(entries)
	f.change = func(id string, set *settings.Direct, s *testSource) {
		set.DataCentre = "dc-" + id
		s.origins = store
	}
	for n := range routers {
		f.routers = append(f.routers, f.startRouter(fmt.Sprint("r", n), f.peers, entries))
	}
	f.exchanged()
	return f
}

// exchanged waits until the routers have exchanged digests, so that each knows who is in its data
// centre.
func (f *resumeFleet) exchanged() { time.Sleep(knowingTime) }

// kill ends the router without a word to others.
func (f *resumeFleet) kill(n int) {
	f.routers[n].router.origins.conn.Store(nil)
	f.routers[n].source.setDown(true)
	f.routers[n].end()
}

// endAll ends all routers, the store being away, so that none can write what it knows.
func (f *resumeFleet) endAll() {
	for _, r := range f.routers {
		r.source.setDown(true)
	}
	for _, r := range f.routers {
		r.end()
	}
}

// waitKept waits until the store has the origin of the attempt's stream.
func (f *resumeFleet) waitKept(store *originStore, first attempt) {
	f.Helper()
	id := origin.IDOf(first.id)
	for range 400 {
		if slices.ContainsFunc(store.all(), func(r origin.Record) bool { return r.ID == id }) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Error("the origin of the stream is not in the store")
}

// lateRouter is a router that knows where one stream began, and answers after the delay.
type lateRouter struct {
	address string
	delay   time.Duration
	record  origin.Record
}

func startLate(f *resumeFleet, delay time.Duration, record origin.Record) *lateRouter {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.TB.Cleanup(func() { _ = conn.Close() })
	l := &lateRouter{address: conn.LocalAddr().String(), delay: delay, record: record}
	go l.serve(conn)
	return l
}

func (l *lateRouter) serve(conn net.PacketConn) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		m, err := originmsg.Read(buf[:n])
		if err != nil || m.Kind != originmsg.Asks {
			continue
		}
		answer := originmsg.Append(nil, originmsg.Message{
			Kind: originmsg.Answers, Router: "late", Number: m.Number, IsKnown: m.ID == l.record.ID, Mixed: true,
			Known: origin.Known{Origin: l.record.Origin, By: "late"},
		})
		time.AfterFunc(l.delay, func() { _, _ = conn.WriteTo(answer, from) })
	}
}

// joins lets the router know another one.
func (f *resumeFleet) joins(n int, id, address string) {
	f.Helper()
	r := f.routers[n]
	revision := r.router.knownRevision() + 1
	r.source.changes <- mirror.Delta{Revision: revision, Joined: map[string]mirror.Registration{id: {Address: address}}}
	r.waitFor("the router is not known", func() bool { return r.router.knownRevision() == revision })
}

// resumeWith takes a stream up that the caller names.
func (f *resumeFleet) resumeWith(n int, named string, after int) attempt {
	return f.try(n, pathStream, 0, testLast, strconv.Itoa(after), testResumes, named)
}

// lastID returns the id of the last stream that occupy opened.
func (f *resumeFleet) lastID() string { return fmt.Sprint("o", f.nextID) }
