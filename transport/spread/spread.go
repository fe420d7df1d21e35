// Package spread brings the live configuration and the instance list to a
// process and hands both on to its peers.
//
// Routers and sidecars run one Spreader each. The decisions are those of
// coordination/spread; this package performs them: it waits at the platform,
// fetches from peers and answers their fetches.
package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"goldcrestport/coordination/spread"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/duty"
	"goldcrestport/transport/platform"
)

// ConfigKey is the platform key of the live configuration.
const ConfigKey = "goldcrest/config"

// Periods and bounds of the driver.
const (
	tickEvery = 20 * time.Millisecond
	eventRing = 256
	// watchTimeout is how long a watcher waits at the platform; when it ends
	// the platform has confirmed what is held.
	watchTimeout = 3 * time.Second
	seedAsks     = 3
)

// Peer is a process of the system that can be asked.
type Peer struct {
	Role platform.Role
	// Address of the process for other processes, IP:port.
	Address string
}

// Asker asks a peer for what this process is behind with.
type Asker interface {
	Ask(ctx context.Context, p Peer, req *wire.ConfigRequest) (*wire.ConfigResponse, error)
}

// Options of a Spreader.
type Options struct {
	// Self tells the core who and where this process is.
	Self spread.Config
	// Seeds are peers to ask at the start, before the platform.
	Seeds []Peer
	// InstancesEvery is the time between looks at the instance list.
	InstancesEvery time.Duration
	Store          platform.Store
	Directory      platform.Directory
	Asker          Asker
	Log            log.Logger
}

// Spreader is the duty that keeps the configuration and the instance list.
type Spreader struct {
	opts     Options
	core     *spread.State
	messages chan message
	doc      atomic.Pointer[config.Document]
	list     atomic.Pointer[list]
	// contact is the router that was heard last.
	contact atomic.Pointer[Peer]
	view    atomic.Pointer[view]
	steps   steps
	whole   wholeDocument
	use     usage

	mu          sync.Mutex
	subscribers []func(*config.Document)
	announcers  []func(revision uint64)
	storeAfter  uint64
}

// message is an event of the core or a document that was obtained.
type message struct {
	event spread.Event
	doc   *config.Document
	done  chan struct{}
}

// view is what other goroutines may know of the core.
type view struct {
	ready     bool
	stale     bool
	watcher   bool
	confirmed time.Time
}

// New returns a Spreader that holds nothing.
func New(opts Options) *Spreader {
	s := &Spreader{opts: opts, core: spread.New(opts.Self), messages: make(chan message, eventRing)}
	s.view.Store(&view{stale: true})
	s.list.Store(&list{})
	return s
}

// OnDocument calls f with each new document, from the Spreader's goroutine.
// It must be called before Run.
func (s *Spreader) OnDocument(f func(*config.Document)) {
	s.subscribers = append(s.subscribers, f)
}

// OnAnnounce calls f when peers have to hear of a revision at once. It must be
// called before Run.
func (s *Spreader) OnAnnounce(f func(revision uint64)) {
	s.announcers = append(s.announcers, f)
}

// Document returns the newest document held, or nil.
func (s *Spreader) Document() *config.Document { return s.doc.Load() }

// Revision returns the revision held, 0 for none.
func (s *Spreader) Revision() uint64 {
	if d := s.doc.Load(); d != nil {
		return d.Revision
	}
	return 0
}

// Age returns how long ago the held revision was known to be the newest.
func (s *Spreader) Age() time.Duration { return time.Since(s.view.Load().confirmed) }

// Stale reports whether the process does not know how fresh it is.
func (s *Spreader) Stale() bool { return s.view.Load().stale }

// ErrNotReady means that no configuration may be served yet.
var ErrNotReady = errors.New("no confirmed configuration")

// Ready returns nil once the process may serve.
func (s *Spreader) Ready() error {
	if !s.view.Load().ready {
		return ErrNotReady
	}
	return nil
}

// Heard takes a peer's word on its revision. It never blocks: a word that is
// lost in a full ring is repeated by the next heartbeat.
func (s *Spreader) Heard(p Peer, revision uint64, age time.Duration) {
	if p.Role == platform.RoleRouter {
		s.contact.Store(&p)
	}
	select {
	case s.messages <- message{event: spread.PeerReported{Peer: key(p), Revision: revision, Age: age}}:
	default:
	}
}

// Accept takes a document that this process has written to the platform and
// returns when it is in force here.
func (s *Spreader) Accept(ctx context.Context, doc *config.Document) {
	done := make(chan struct{})
	s.post(ctx, message{event: spread.Accepted{Revision: doc.Revision}, doc: doc, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Spreader) post(ctx context.Context, m message) {
	duty.Post(ctx, s.messages, m)
}

// Run keeps the configuration until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	go s.askSeeds(ctx)
	go s.followInstances(ctx)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.messages:
			s.take(m.doc)
			s.step(ctx, m.event)
			if m.done != nil {
				close(m.done)
			}
		case <-ticker.C:
			s.step(ctx, spread.Ticked{})
		}
	}
}

// take puts a newer document in force.
//
// Invariant: the revision in force never falls.
func (s *Spreader) take(doc *config.Document) {
	held := s.doc.Load()
	if doc == nil || (held != nil && doc.Revision <= held.Revision) {
		return
	}
	if held != nil {
		s.steps.add(held, doc)
	}
	s.doc.Store(doc)
	for _, f := range s.subscribers {
		f(doc)
	}
	_ = s.opts.Log.Log("event", "config_in_force", "revision", doc.Revision)
}

func (s *Spreader) step(ctx context.Context, ev spread.Event) {
	now := time.Now()
	actions := s.core.Step(now, ev)
	s.view.Store(&view{
		ready:     s.core.Ready(),
		stale:     s.core.Stale(),
		watcher:   s.core.Watcher(),
		confirmed: now.Add(-s.core.Age(now)),
	})
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Fetch:
			go s.fetch(ctx, a.Peer)
		case spread.Read:
			go s.read(ctx)
		case spread.Watch:
			go s.watch(ctx)
		case spread.Announce:
			for _, f := range s.announcers {
				f(a.Revision)
			}
		case spread.Freshness:
			_ = s.opts.Log.Log("event", "config_freshness", "stale", a.Stale, "revision", s.Revision())
		}
	}
}
