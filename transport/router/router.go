// Package router runs an entry process: it accepts callers and operators,
// holds each request and its caller's connection, and hands the request to a
// sidecar.
//
// cmd/goldcrestd calls it. It reaches sidecars over drpc.
package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/claims"
	"goldcrestport/transport/link"
	"goldcrestport/transport/observe"
	"goldcrestport/transport/operators"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// Bounds of the pool of idle connections to sidecars.
const (
	idleConns        = 4096
	idleConnsPerPeer = 64
	idleConnTime     = time.Minute
)

// Router is the process.
type Router struct {
	wire.DRPCRouterUnimplementedServer

	set        settings.Router
	log        log.Logger
	store      platform.Store
	directory  platform.Directory
	pool       *link.Pool
	dispatcher *dispatcher
	claims     *claims.Guard
	metrics    *metrics
	spread     *spread.Spreader
	listing    *listing
	tracer     *observe.Tracer
	lines      *observe.LineLimit
	bodies     *bodies
	tokens     tokens
	doc        atomic.Pointer[config.Document]
	linkCount  atomic.Int64
	ctx        context.Context

	// unready tells that the process says so; leaving that it refuses.
	unready atomic.Bool
	leaving atomic.Bool
	// held counts the callers' requests that have not ended.
	held atomic.Int64
	// ending is done when held requests must end at once.
	ending    context.Context
	end       context.CancelFunc
	abort     chan struct{}
	abortOnce sync.Once
	// sidecarReports maps a linked sidecar to its last *wire.Load.
	sidecarReports sync.Map
}

// New returns a router that has not bound anything yet.
func New(set settings.Router, store platform.Store, dir platform.Directory, logger log.Logger) *Router {
	ending, end := context.WithCancel(context.Background())
	m := newMetrics()
	r := &Router{
		ending:    ending,
		end:       end,
		abort:     make(chan struct{}),
		set:       set,
		log:       logger,
		store:     store,
		directory: dir,
		pool:      link.NewPool(idleConns, idleConnsPerPeer, idleConnTime),
		metrics:   m,
		listing:   newListing(),
		tracer:    observe.NoTracer(),
		lines:     observe.NewLineLimit(m.lost),
		bodies:    newBodies(set.Limits.Bodies.Bytes(), m.bodies),
	}
	r.dispatcher = newDispatcher(dispatch.New(dispatchConfig(set)), r.doc.Load, newDispatchVars(r.metrics.vars))
	r.spread = r.newSpreader()
	r.claims = r.newClaims()
	return r
}

// SetTracer sets the tracer of the requests. It must be called before Serve.
func (r *Router) SetTracer(t *observe.Tracer) { r.tracer = t }

func (r *Router) revision() uint64 {
	if d := r.doc.Load(); d != nil {
		return d.Revision
	}
	return 0
}

// Serve binds the listeners and serves until stop is closed; it returns when
// what it holds has ended or the stop bound has passed.
func (r *Router) Serve(stop <-chan struct{}) error {
	if err := dispatchConfig(r.set).Validate(); err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := claimsConfig(r.set.Claims).Validate(); err != nil {
		return errors.Wrap(err, "settings")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx = ctx
	callers, err := net.Listen("tcp", r.set.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	ops, err := net.Listen("tcp", r.set.Listen.Operators)
	if err != nil {
		return errors.Wrap(err, "listen.operators")
	}
	peers, err := net.Listen("tcp", r.set.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	srv := r.callerServer()
	mux := http.NewServeMux()
	operators.New(r.store, operatorView{r}, r.set.Operators.BootstrapDigest, r.log).Mount(mux)
	observe.Health{Ready: r.ready, Vars: r.metrics.vars}.Mount(mux)
	r.claims.Start(ctx)
	go r.dispatcher.run(ctx)
	go r.spread.Run(ctx)
	go r.keepBeating(ctx)
	go (&links{r: r, open: map[string]context.CancelFunc{}}).run(ctx)
	go func() { _ = r.operatorServer(mux).Serve(ops) }()
	go func() { _ = link.ServeRouter(ctx, peers, r, r.claims) }()
	go func() { _ = srv.Serve(r.boundCallers(callers)) }()
	_ = r.log.Log("event", "serving", "callers", r.set.Listen.Callers, "operators", r.set.Listen.Operators)
	<-stop
	r.leave(srv)
	r.flushClaims()
	return nil
}

// operatorServer bounds what an operators' connection may take.
func (r *Router) operatorServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: r.set.Limits.HeaderTimeout.D(),
		ReadTimeout:       r.set.Limits.BodyTimeout.D(),
		MaxHeaderBytes:    int(r.set.Limits.Headers.Bytes()),
		IdleTimeout:       time.Minute,
	}
}

func (r *Router) ready() error {
	if r.unready.Load() {
		return errors.New("leaving")
	}
	if r.linkCount.Load() == 0 {
		return errors.New("no sidecar is linked")
	}
	return r.spread.Ready()
}

// adopt puts a newer document in force.
func (r *Router) adopt(doc *config.Document) { r.doc.Store(doc) }
