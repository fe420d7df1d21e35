package direct

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/bodybudget"
	"goldcrestport/coordination/freshness"
	"goldcrestport/coordination/intake"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/repeats"
	"goldcrestport/coordination/returning"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/rotation"
	"goldcrestport/coordination/telling"
	"goldcrestport/coordination/versions"
	"goldcrestport/coordination/warmup"
	"goldcrestport/protocol/digest"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/routing"
	"goldcrestport/transport/answermemory"
	"goldcrestport/transport/backend"
	"goldcrestport/transport/callerbody"
	"goldcrestport/transport/callerconn"
	"goldcrestport/transport/callergate"
	"goldcrestport/transport/observe"
	"goldcrestport/transport/teamlog"
)

// Router is a router process that calls the backend servers itself.
type Router struct {
	set settings.Direct
	cfg Config
	log log.Logger
	// completedLines limits the log lines about answers that were whole, attemptLines those
	// about abandoned attempts, streamLines those about streams of services with several software
	// versions, and failureLines all others.
	completedLines *observe.LineLimit
	attemptLines   *observe.LineLimit
	failureLines   *observe.LineLimit
	streamLines    *observe.LineLimit
	// retryLines limits the log lines about retries and probes of what is refused.
	retryLines *observe.LineLimit
	// startedAt is when this life of the router began.
	startedAt time.Time
	dialect   Dialect
	source    Source
	pool      *backend.Pool
	metrics   *metrics
	rates     *streamRates
	tracer    *observe.Tracer
	table     atomic.Pointer[routing.Table]

	// mu guards the fields from admission to returning.
	mu        sync.Mutex
	admission *admission.State
	roster    *roster.Roster
	budgets   map[string]*repeats.Budget
	// fleetSize is the number of routers that share the allowance of the budgets.
	fleetSize repeats.FleetSize
	fresh     *freshness.Tracker
	// quarantine tracks which requests crash servers; reportsReady wakes the gossiper when there
	// are new reports to send.
	quarantine   *quarantine.State
	reportsReady chan struct{}
	// parts tracks which parts of prompts crash servers.
	parts *partquarantine.State
	// warmup limits the load of cold servers; member is the period in which this router's
	// registration is certain to be valid.
	warmup  *warmup.State
	member  membership
	servers map[string]roster.Server
	// versions tracks the software versions of the servers of each service.
	versions *versions.History
	peers    map[string]mirror.Registration
	// life identifies this process by its registration; 0 before the first one. knewAllAt is when this router first
	// knew the others, and membersRevision that of the last change of the registered routers.
	life            versions.Life
	knewAllAt       time.Time
	membersRevision uint64
	// peersChanged makes the gossiper read peers again.
	peersChanged bool
	// lastSeqs holds the sequence number of the last message from each other router, and witness
	// the times of this router's own messages.
	lastSeqs map[string]uint32
	witness  freshness.Witness
	// fleet decides to which routers this router's digests are sent.
	fleet            *telling.Fleet
	lastConfirmation confirmation
	// confirmedAt is when a new confirmation by the store came last, to another router or to this
	// one, by the clock of bootTime. confirmedFor is the time for which the newest confirmation of
	// the other routers holds.
	confirmedAt, confirmedFor time.Duration
	// storeLostAt is when the store stopped answering this router, by the clock of bootTime.
	storeLostAt time.Duration
	// infoWanted wakes the task that queries the store: a request waits for more recent
	// information.
	infoWanted chan struct{}
	// storeConfirmed wakes the gossiper when the store has answered anew.
	storeConfirmed chan struct{}
	// serversJoined wakes vouchOnChange when entries of servers are new.
	serversJoined chan struct{}
	// attached holds the changes that are sent with the next message.
	attached attachedChanges
	// pending is a revision that another router confirmed as current and this router has not
	// reached yet; catchUpNeeded wakes the task that reads it.
	pending struct {
		at       time.Duration
		revision uint64
		// router that confirmed it.
		router string
	}
	mirror mirror.Mirror
	// answers caches the last answer to other routers.
	answers packedAnswers
	// hasUnreadableConfig means that the configuration in the store cannot be read; the last one stays in force.
	hasUnreadableConfig bool
	// loggedInvalid holds the revisions at which invalid entries were logged, by key.
	loggedInvalid map[string]uint64
	catchUpNeeded chan struct{}
	returning     *returning.Tracker

	// origins is what is known of where streams began.
	origins *origins
	// doubts is the evidence about the streams of doubted origin.
	doubts *doubts

	probes *probes
	load   load
	// storeSilentSince is the time since which the store has not answered this router, by the
	// clock of bootTime; 0 while it answers.
	storeSilentSince atomic.Int64
	unready          atomic.Bool
	shuttingDown     atomic.Bool
	leaving          *leaving
	inFlight         atomic.Int64
	ending           context.Context
	end              context.CancelFunc
	abort            chan struct{}
	callers          *callerconn.Set
	// callersFull wakes relieveCallers: a caller's connection waits for another to be closed.
	callersFull chan struct{}
	// bodies is the memory of the callers' bodies, a part of memory, which is that of the process in bytes.
	bodies *callerbody.Budget
	memory atomic.Int64
	// answerMemory is the memory for parts of answers that wait to be relayed.
	answerMemory *answermemory.Budget
	// teams counts what each team requests from this router and receives.
	teams *teamlog.Recorder
	// gate decides which new connections are read.
	gate *callergate.Gate
	once sync.Once
}

// New returns a router that has not bound any listener yet.
func New(set settings.Direct, cfg Config, source Source, dialect Dialect, logger log.Logger) *Router {
	ending, end := context.WithCancel(context.Background())
	r := &Router{
		set: set, cfg: cfg, log: logger, dialect: dialect, source: source,
		tracer:         observe.NoTracer(),
		admission:      admission.New(cfg.Admission),
		roster:         roster.New(cfg.Roster),
		startedAt:      time.Now(),
		budgets:        make(map[string]*repeats.Budget),
		fresh:          freshness.New(cfg.Freshness),
		servers:        make(map[string]roster.Server),
		versions:       versions.New(),
		peers:          make(map[string]mirror.Registration),
		lastSeqs:       make(map[string]uint32),
		fleet:          telling.New(telling.DefaultConfig(), set.ID, digest.DataCentreOf(set.DataCentre)),
		loggedInvalid:  make(map[string]uint64),
		catchUpNeeded:  make(chan struct{}, 1),
		storeConfirmed: make(chan struct{}, 1),
		serversJoined:  make(chan struct{}, 1),
		infoWanted:     make(chan struct{}, 1),
		reportsReady:   make(chan struct{}, 1),
		probes:         newProbes(),
		leaving:        newLeaving(),
		rates:          newStreamRates(),
		warmup:         warmup.New(cfg.Warmup, set.ID),
		quarantine:     quarantine.New(cfg.Quarantine, set.ID),
		parts:          partquarantine.New(partquarantine.DefaultConfig(), set.ID),
		returning:      returning.New(returning.DefaultConfig()),
		ending:         ending, end: end, abort: make(chan struct{}), callers: callerconn.NewSet(), callersFull: make(chan struct{}, 1),
	}
	r.answerMemory = answermemory.New(set.Memory.Bytes())
	cfg.Backend.Answers = r.answerMemory
	r.pool = backend.NewPool(cfg.Backend)
	r.versions.SetViewBound(cfg.Staleness.Bound)
	r.origins, r.doubts = newOrigins(r), newDoubts(r)
	r.admission.SetWarmup(r.warmup)
	r.quarantine.SetOtherCause(r.parts.MayExplain)
	r.load.rotation = rotation.New(rotation.DefaultConfig())
	r.metrics = newMetrics(r)
	r.memory.Store(set.Memory.Bytes())
	r.bodies = callerbody.NewBudget(bodybudget.DefaultConfig(), bodyBudget(set.Memory.Bytes(), 0, set.Callers.Body.Bytes()), r.metrics.bodyBytes.Set)
	r.teams = teamlog.New(set.DataCentre, r.metrics.vars, r.event, r.teamStanding)
	r.gate = callergate.New(intake.DefaultConfig(), r.teams.TeamOf, r.exceedsShare, r.recordUnreadClose)
	r.completedLines = observe.NewLineLimit(r.metrics.dropped)
	r.failureLines = observe.NewLineLimitOf(r.metrics.dropped, failureLogLimit)
	r.attemptLines = observe.NewLineLimitOf(r.metrics.dropped, abandonedLogLimit)
	r.streamLines = observe.NewLineLimitOf(r.metrics.dropped, streamLogLimit)
	r.retryLines = observe.NewLineLimitOf(r.metrics.dropped, retryLogLimit)
	return r
}

// SetTracer sets the tracer of the requests. It must be called before Serve.
func (r *Router) SetTracer(t *observe.Tracer) { r.tracer = t }

// Abort ends a graceful shutdown early. It may be called more than once.
func (r *Router) Abort() { r.once.Do(func() { close(r.abort) }) }

// Serve binds the listeners and serves until stop is closed and all requests in flight have
// ended or the stop bound has passed.
func (r *Router) Serve(stop <-chan struct{}) error {
	if err := r.cfg.validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers, err := callerconn.Listen(r.set.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	health, err := net.Listen("tcp", r.set.Listen.Health)
	if err != nil {
		return errors.Wrap(err, "listen.health")
	}
	srv := r.callerServer()
	go r.follow(ctx)
	go r.sweep(ctx)
	go r.vouchOnChange(ctx)
	go r.register(ctx)
	go r.syncQuarantine(ctx)
	go r.syncServed(ctx)
	go r.syncFleet(ctx)
	go r.origins.writer.run(ctx)
	go r.takeOverProofs(ctx)
	go func() { _ = observe.Server(r.healthHandler()).Serve(health) }()
	if err := r.startGossip(ctx); err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	if r.set.Listen.Metrics != "" {
		metrics, err := net.Listen("tcp", r.set.Listen.Metrics)
		if err != nil {
			return errors.Wrap(err, "listen.metrics")
		}
		go func() { _ = observe.Server(r.metricsHandler()).Serve(metrics) }()
	}
	go func() {
		_ = srv.Serve(callerconn.NewListener(callers, maxConnections(r.set), r.gate, r.noteFull))
	}()
	go r.relieveCallers(ctx)
	go r.watchLoad(ctx)
	go r.teams.Run(ctx)
	go runEvery(ctx, paceLogInterval, r.logPace)
	r.event("serving", "callers", r.set.Listen.Callers)
	<-stop
	r.shutDown(srv)
	return nil
}

// callerServer returns the HTTP server for callers, with limits on what a connection may use.
func (r *Router) callerServer() *http.Server {
	return &http.Server{
		Handler:           callerconn.ResetUnlessWhole(http.HandlerFunc(r.serve)),
		ReadHeaderTimeout: r.set.Callers.HeaderTimeout.D(),
		IdleTimeout:       r.set.Callers.IdleTimeout.D(),
		ConnState:         r.callers.Changed,
		ConnContext:       callerconn.WithConn,
		ErrorLog:          stdlog.New(errorLines{r}, "", 0),
		MaxHeaderBytes:    int(r.set.Callers.Headers.Bytes()),
	}
}

// event writes a log line that is not rate limited.
func (r *Router) event(name string, keyvals ...any) {
	_ = r.log.Log(append([]any{"event", name}, keyvals...)...)
}
