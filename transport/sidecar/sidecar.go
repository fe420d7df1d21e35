// Package sidecar runs the process beside one backend server. It is the only
// way to that server: it owns the concurrency limit, the fair choice between
// teams and the runs themselves.
//
// cmd/goldcrestd calls it. Routers reach it over drpc.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/google/uuid"

	"goldcrestport/coordination/share"
	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/attempts"
	"goldcrestport/state/config"
	"goldcrestport/transport/link"
	"goldcrestport/transport/observe"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// Bounds of the pool of idle connections to peers.
const (
	idleConns        = 64
	idleConnsPerPeer = 2
	idleConnTime     = time.Minute
)

// Sidecar is the process.
type Sidecar struct {
	wire.DRPCSidecarUnimplementedServer

	set       settings.Sidecar
	log       log.Logger
	store     platform.Store
	directory platform.Directory
	pool      *link.Pool
	spread    *spread.Spreader
	chooser   *chooser
	exchanger *exchanger
	limits    *limits
	backend   *backend
	// runs of the present incarnation.
	runs       atomic.Pointer[runs]
	slot       *slot
	drain      *drain
	reconciler *reconciler
	doc        atomic.Pointer[config.Document]
	leaving    atomic.Bool
	ctx        context.Context
	metrics    *metrics
	tracer     *observe.Tracer

	// held counts the streams and runs that have not ended.
	held   atomic.Int64
	starts atomic.Int64
	// startedAt is when the last run started, in Unix nanoseconds.
	startedAt atomic.Int64
	abort     chan struct{}
	abortOnce sync.Once
}

// New returns a sidecar that has not bound anything yet.
func New(set settings.Sidecar, store platform.Store, dir platform.Directory, logger log.Logger) *Sidecar {
	s := &Sidecar{
		set:       set,
		abort:     make(chan struct{}),
		log:       logger,
		store:     store,
		directory: dir,
		pool:      link.NewPool(idleConns, idleConnsPerPeer, idleConnTime),
		backend:   newBackend(set.Backend.URL),
		tracer:    observe.NoTracer(),
	}
	s.metrics = newMetrics(s)
	incarnation := uuid.NewString()
	cfg := shareConfig(set, incarnation)
	s.spread = s.newSpreader()
	s.chooser = newChooser(share.New(cfg), s.spread, set.Listen.Peers)
	s.chooser.show = s.metrics.choice.set
	s.exchanger = newExchanger(s, incarnation)
	s.limits = newLimits(s)
	s.chooser.ejected = s.limits.out.Load
	s.drain = newDrain(s)
	s.runs.Store(newRuns(incarnation, attempts.DefaultConfig()))
	s.slot = newSlot(s)
	s.reconciler = newReconciler(s)
	s.chooser.ordersLeft = func() int { return int(s.reconciler.left.Load()) }
	return s
}

// shareConfig returns the parameters of the choice from the settings.
func shareConfig(set settings.Sidecar, incarnation string) share.Config {
	cfg := share.DefaultConfig()
	cfg.Policy = share.Policy(set.Policy)
	cfg.Slots = set.Backend.Slots
	cfg.LookAhead = *set.Backend.LookAhead
	cfg.Seed = xxhash.Sum64String(incarnation)
	cfg.Ledger.Writer, cfg.Ledger.Incarnation = set.ID, incarnation
	return cfg
}

// incarnation returns the id under which this process knows of its attempts.
func (s *Sidecar) incarnation() string { return s.runs.Load().incarnation }

func (s *Sidecar) revision() uint64 {
	if d := s.doc.Load(); d != nil {
		return d.Revision
	}
	return 0
}

func (s *Sidecar) serviceKind() config.ServiceKind {
	d := s.doc.Load()
	if d == nil {
		return config.KindPlain
	}
	return d.Services[s.set.Service].Kind
}

// Serve binds the listeners and serves until stop is closed; it returns when
// what runs has ended or the stop bound has passed.
func (s *Sidecar) Serve(stop <-chan struct{}) error {
	if err := limitConfig(s.set.Backend).Validate(); err != nil {
		return errors.Wrap(err, "settings: backend")
	}
	if err := shareConfig(s.set, "").Validate(); err != nil {
		return errors.Wrap(err, "settings: policy and backend")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.ctx = ctx
	peers, err := net.Listen("tcp", s.set.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	ops, err := net.Listen("tcp", s.set.Listen.Operators)
	if err != nil {
		return errors.Wrap(err, "listen.operators")
	}
	mux := http.NewServeMux()
	observe.Health{Ready: s.ready, Vars: s.metrics.vars}.Mount(mux)
	go s.chooser.run(ctx)
	go s.exchanger.run(ctx)
	go s.limits.run(ctx)
	go s.expireAnswers(ctx)
	go s.reconciler.run(ctx)
	go s.slot.run(ctx)
	go s.spread.Run(ctx)
	go func() { _ = observe.Server(mux).Serve(ops) }()
	go func() { _ = link.ServeSidecar(ctx, peers, s) }()
	_ = s.log.Log("event", "serving", "incarnation", s.incarnation(), "service", s.set.Service, "peers", s.set.Listen.Peers)
	<-stop
	s.leave()
	return nil
}

// expireEvery is the period in which old answers are dropped.
const expireEvery = time.Second

// expireAnswers drops old answers until ctx ends.
func (s *Sidecar) expireAnswers(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.runs.Load().expire()
		}
	}
}

// started counts the start of a run.
func (s *Sidecar) started() {
	now := time.Now()
	s.starts.Add(1)
	s.startedAt.Store(now.UnixNano())
	s.metrics.starts.Add(1)
	s.metrics.lastStart.Set(now.UnixMilli())
}

// lastStart returns when the last run started.
func (s *Sidecar) lastStart() time.Time { return time.Unix(0, s.startedAt.Load()).UTC() }

func (s *Sidecar) ready() error {
	if s.leaving.Load() {
		return errors.New("leaving")
	}
	if err := s.slot.ready(); err != nil {
		return err
	}
	return s.spread.Ready()
}
