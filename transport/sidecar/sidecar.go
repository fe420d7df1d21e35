// Package sidecar implements the process that runs beside one backend server.
// All requests to that server pass through it: it enforces the concurrency
// limit, schedules fairly between teams and executes the requests.
//
// cmd/goldcrestd starts it. Routers connect to it over drpc.
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

// Limits of the pool of idle connections to peers.
const (
	idleConns        = 64
	idleConnsPerPeer = 2
	idleConnTime     = time.Minute
)

// Sidecar is the process in front of one backend server.
type Sidecar struct {
	wire.DRPCSidecarUnimplementedServer

	set       settings.Sidecar
	log       log.Logger
	store     platform.Store
	directory platform.Directory
	pool      *link.Pool
	spread    *spread.Spreader
	scheduler *scheduler
	exchanger *exchanger
	limits    *limits
	backend   *backend
	// runs is the table of attempts of the current incarnation.
	runs         atomic.Pointer[runs]
	slot         *slot
	drain        *drain
	reconciler   *reconciler
	doc          atomic.Pointer[config.Document]
	shuttingDown atomic.Bool
	ctx          context.Context
	metrics      *metrics
	tracer       *observe.Tracer

	// inFlight counts the Run streams and runs that have not ended.
	inFlight atomic.Int64
	starts   atomic.Int64
	// startedAt is when the last run started, in Unix nanoseconds.
	startedAt atomic.Int64
	abort     chan struct{}
	abortOnce sync.Once
}

// New returns a sidecar that has not bound its listeners yet.
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
	s.scheduler = newScheduler(share.New(cfg), s.spread, set.Listen.Peers)
	s.scheduler.publish = s.metrics.share.set
	s.exchanger = newExchanger(s, incarnation)
	s.limits = newLimits(s)
	s.scheduler.ejected = s.limits.ejected.Load
	s.drain = newDrain(s)
	s.runs.Store(newRuns(incarnation, attempts.DefaultConfig()))
	s.slot = newSlot(s)
	s.reconciler = newReconciler(s)
	s.scheduler.ordersRemaining = func() int { return int(s.reconciler.remaining.Load()) }
	return s
}

// shareConfig returns the parameters of the fair-share core from the settings.
func shareConfig(set settings.Sidecar, incarnation string) share.Config {
	cfg := share.DefaultConfig()
	cfg.Policy = share.Policy(set.Policy)
	cfg.Slots = set.Backend.Slots
	cfg.LookAhead = *set.Backend.LookAhead
	cfg.Seed = xxhash.Sum64String(incarnation)
	cfg.Ledger.Writer, cfg.Ledger.Incarnation = set.ID, incarnation
	return cfg
}

// incarnation returns the id of the current incarnation, which scopes the
// table of attempts.
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

// Serve binds the listeners and serves until stop is closed. It returns when
// all running requests have ended or the shutdown's time limit has passed.
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
	go s.scheduler.run(ctx)
	go s.exchanger.run(ctx)
	go s.limits.run(ctx)
	go s.expireResponses(ctx)
	go s.reconciler.run(ctx)
	go s.slot.run(ctx)
	go s.spread.Run(ctx)
	go func() { _ = observe.Server(mux).Serve(ops) }()
	go func() { _ = link.ServeSidecar(ctx, peers, s) }()
	_ = s.log.Log("event", "serving", "incarnation", s.incarnation(), "service", s.set.Service, "peers", s.set.Listen.Peers)
	<-stop
	s.shutDown()
	return nil
}

// expireInterval is the interval at which old responses are dropped.
const expireInterval = time.Second

// expireResponses drops old responses until ctx ends.
func (s *Sidecar) expireResponses(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
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

// recordStart records the start of a run.
func (s *Sidecar) recordStart() {
	now := time.Now()
	s.starts.Add(1)
	s.startedAt.Store(now.UnixNano())
	s.metrics.starts.Add(1)
	s.metrics.lastStart.Set(now.UnixMilli())
}

// lastStart returns when the last run started.
func (s *Sidecar) lastStart() time.Time { return time.Unix(0, s.startedAt.Load()).UTC() }

func (s *Sidecar) ready() error {
	if s.shuttingDown.Load() {
		return errors.New("leaving")
	}
	if err := s.slot.ready(); err != nil {
		return err
	}
	return s.spread.Ready()
}
