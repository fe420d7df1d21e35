// Package spread keeps the live configuration and the instance list of a process
// up to date and distributes both to its peers.
//
// Routers and sidecars run one Spreader each. coordination/spread makes the
// decisions; this package performs them: it watches the platform, fetches from
// peers and answers their requests.
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

// Intervals and limits of a Spreader.
const (
	tickEvery      = 20 * time.Millisecond
	eventQueueSize = 256
	// watchTimeout bounds one long poll of the platform. A poll that ends
	// without a change confirms that the current revision is the newest.
	watchTimeout = 3 * time.Second
	seedAsks     = 3
)

// Peer is a router or sidecar that requests can be sent to.
type Peer struct {
	Role platform.Role
	// Address at which other processes reach this one, IP:port.
	Address string
}

// Asker requests from a peer the configuration and instance list that this
// process lacks.
type Asker interface {
	Ask(ctx context.Context, p Peer, req *wire.ConfigRequest) (*wire.ConfigResponse, error)
}

// Options holds the settings and dependencies of a Spreader.
type Options struct {
	// Self configures the core, including the identity and data centre of this
	// process.
	Self spread.Config
	// Seeds are peers to fetch from at the start, before the platform is read.
	Seeds []Peer
	// InstancesEvery is the interval at which the instance list is refreshed.
	InstancesEvery time.Duration
	Store          platform.Store
	Directory      platform.Directory
	Asker          Asker
	Log            log.Logger
}

// Spreader keeps the configuration and the instance list of a process up to date.
type Spreader struct {
	opts     Options
	core     *spread.State
	messages chan message
	doc      atomic.Pointer[config.Document]
	list     atomic.Pointer[list]
	// lastReporter is the router that sent the last report.
	lastReporter atomic.Pointer[Peer]
	view         atomic.Pointer[view]
	steps        steps
	encoded      documentCache
	usage        usage

	mu          sync.Mutex
	subscribers []func(*config.Document)
	announcers  []func(revision uint64)
	storeAfter  uint64
}

// message is an event for the core, with the document it refers to if one was
// received. done, if set, is closed after the message has been processed.
type message struct {
	event spread.Event
	doc   *config.Document
	done  chan struct{}
}

// view is a snapshot of the core's state for other goroutines.
type view struct {
	ready     bool
	stale     bool
	watcher   bool
	confirmed time.Time
}

// New returns a Spreader without a configuration or an instance list.
func New(opts Options) *Spreader {
	s := &Spreader{opts: opts, core: spread.New(opts.Self), messages: make(chan message, eventQueueSize)}
	s.view.Store(&view{stale: true})
	s.list.Store(&list{})
	return s
}

// OnDocument calls f with each new document, from the Spreader's goroutine.
// It must be called before Run.
func (s *Spreader) OnDocument(f func(*config.Document)) {
	s.subscribers = append(s.subscribers, f)
}

// OnAnnounce calls f when a revision must be announced to peers immediately. It
// must be called before Run.
func (s *Spreader) OnAnnounce(f func(revision uint64)) {
	s.announcers = append(s.announcers, f)
}

// Document returns the document in force, or nil if there is none.
func (s *Spreader) Document() *config.Document { return s.doc.Load() }

// Revision returns the revision in force, or 0 if there is none.
func (s *Spreader) Revision() uint64 {
	if d := s.doc.Load(); d != nil {
		return d.Revision
	}
	return 0
}

// Age returns the staleness of the configuration: the time since the revision in
// force was last confirmed to be the newest.
func (s *Spreader) Age() time.Duration { return time.Since(s.view.Load().confirmed) }

// Stale reports whether the configuration has not been confirmed to be current
// within the core's StaleAfter.
func (s *Spreader) Stale() bool { return s.view.Load().stale }

// ErrNotReady means that there is no confirmed configuration, or no instance list,
// yet.
var ErrNotReady = errors.New("no confirmed configuration")

// Ready returns nil once the process may serve requests, and ErrNotReady before.
func (s *Spreader) Ready() error {
	if !s.view.Load().ready {
		return ErrNotReady
	}
	return nil
}

// Heard processes a peer's report of its revision and of that revision's staleness. It
// never blocks: a report dropped because the queue is full is repeated by the
// next heartbeat.
func (s *Spreader) Heard(p Peer, revision uint64, age time.Duration) {
	if p.Role == platform.RoleRouter {
		s.lastReporter.Store(&p)
	}
	select {
	case s.messages <- message{event: spread.PeerReported{Peer: peerKey(p), Revision: revision, Age: age}}:
	default:
	}
}

// Accept applies a document that this process has written to the platform and
// returns when it is in force here or ctx has ended.
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

// Run keeps the configuration and the instance list up to date until ctx ends.
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
			s.setDocument(m.doc)
			s.step(ctx, m.event)
			if m.done != nil {
				close(m.done)
			}
		case <-ticker.C:
			s.step(ctx, spread.Ticked{})
		}
	}
}

// setDocument puts a newer document in force.
//
// Invariant: the revision in force never decreases.
func (s *Spreader) setDocument(doc *config.Document) {
	current := s.doc.Load()
	if doc == nil || (current != nil && doc.Revision <= current.Revision) {
		return
	}
	if current != nil {
		s.steps.add(current, doc)
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
