// Package router implements the router process: it accepts connections from
// callers and operators, queues requests and dispatches each one to a sidecar.
//
// cmd/goldcrestd runs it. It communicates with sidecars over drpc.
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
	"goldcrestport/transport/callerbody"
	"goldcrestport/transport/callerconn"
	"goldcrestport/transport/claims"
	"goldcrestport/transport/link"
	"goldcrestport/transport/observe"
	"goldcrestport/transport/operators"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// Limits of the pool of idle connections to sidecars.
const (
	idleConns        = 4096
	idleConnsPerPeer = 64
	idleConnTime     = time.Minute
)

// Router is a router process.
type Router struct {
	wire.DRPCRouterUnimplementedServer

	set          settings.Router
	log          log.Logger
	store        platform.Store
	directory    platform.Directory
	pool         *link.Pool
	dispatcher   *dispatcher
	claims       *claims.Guard
	metrics      *metrics
	spread       *spread.Spreader
	listedStates *listedStates
	tracer       *observe.Tracer
	logLimit     *observe.LineLimit
	bodies       *callerbody.Budget
	tokens       tokens
	doc          atomic.Pointer[config.Document]
	linkCount    atomic.Int64
	ctx          context.Context

	// unready is true once the router reports that it is not ready, at the start
	// of a shutdown; refusing is true once it refuses new requests.
	unready  atomic.Bool
	refusing atomic.Bool
	// inFlight counts the callers' requests that have not ended.
	inFlight atomic.Int64
	// stopCtx is cancelled by cancelInFlight when the requests in flight must
	// end at once.
	stopCtx        context.Context
	cancelInFlight context.CancelFunc
	abort          chan struct{}
	abortOnce      sync.Once
	// sidecarReports maps the ID of a linked sidecar to its last *wire.Load.
	sidecarReports sync.Map
}

// New returns a router that does not listen yet.
func New(set settings.Router, store platform.Store, dir platform.Directory, logger log.Logger) *Router {
	ending, end := context.WithCancel(context.Background())
	m := newMetrics()
	r := &Router{
		stopCtx:        ending,
		cancelInFlight: end,
		abort:          make(chan struct{}),
		set:            set,
		log:            logger,
		store:          store,
		directory:      dir,
		pool:           link.NewPool(idleConns, idleConnsPerPeer, idleConnTime),
		metrics:        m,
		listedStates:   newListedStates(),
		tracer:         observe.NoTracer(),
		logLimit:       observe.NewLineLimit(m.logLinesDropped),
		bodies:         newBodies(set.Limits.Bodies.Bytes(), m),
	}
	r.dispatcher = newDispatcher(dispatch.New(dispatchConfig(set)), r.doc.Load, newDispatchVars(r.metrics.vars))
	r.spread = r.newSpreader()
	r.claims = r.newClaims()
	return r
}

// SetTracer sets the tracer for requests. It must be called before Serve.
func (r *Router) SetTracer(t *observe.Tracer) { r.tracer = t }

func (r *Router) revision() uint64 {
	if d := r.doc.Load(); d != nil {
		return d.Revision
	}
	return 0
}

// Serve binds the listeners and serves until stop is closed. It then returns
// when the requests in flight have ended or the stop bound has passed.
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
	callers, err := callerconn.Listen(r.set.Listen.Callers)
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
	go r.sendHeartbeats(ctx)
	go (&linkManager{r: r, open: map[string]context.CancelFunc{}}).run(ctx)
	go func() { _ = r.operatorServer(mux).Serve(ops) }()
	go func() { _ = link.ServeRouter(ctx, peers, r, r.claims) }()
	go func() { _ = srv.Serve(r.limitCallers(callers)) }()
	_ = r.log.Log("event", "serving", "callers", r.set.Listen.Callers, "operators", r.set.Listen.Operators)
	<-stop
	r.shutDown(srv)
	r.flushClaims()
	return nil
}

// operatorServer returns the HTTP server of the operators' listener, with its
// limits.
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

// adopt puts a newer configuration in force.
func (r *Router) adopt(doc *config.Document) { r.doc.Store(doc) }
