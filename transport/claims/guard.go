package claims

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"goldcrestport/coordination/claim"
	"goldcrestport/state/claims"
	"goldcrestport/transport/platform"
)

// Request is a non-idempotent request with an idempotency key.
type Request struct {
	// ID is unique across the fleet and never reused.
	ID      string
	Team    string
	Service string
	Key     string
	Method  string
	Path    string
	// Body is not used after the call that it is passed to returns.
	Body []byte
}

// Guard claims keys for this process and tracks the attempts that the process
// may dispatch.
type Guard struct {
	cfg      Config
	executor claims.Executor
	peers    Peers
	homes    *homes
	writer   *writer
	metrics  *metrics
	releases chan struct{}
	ctx      context.Context

	mu       sync.Mutex
	attempts *claims.Attempts
}

// New returns a Guard with a new incarnation ID. The config must be valid.
func New(cfg Config, self Peer, store platform.Store, peers Peers) *Guard {
	m := newMetrics()
	if cfg.Core.Seed == 0 {
		cfg.Core.Seed = rand.Uint64()
	}
	return &Guard{
		cfg:      cfg,
		executor: claims.Executor{Incarnation: uuid.NewString(), Address: self.Address},
		peers:    peers,
		homes:    newHomes(self.ID, cfg.SuspectFor),
		writer:   newWriter(cfg, store, m),
		metrics:  m,
		releases: make(chan struct{}, cfg.MaxReleases),
		ctx:      context.Background(),
		attempts: claims.NewAttempts(cfg.MaxAttempts),
	}
}

// Start runs the writer's goroutine until ctx ends. It must be called before any
// other method except Metrics.
func (g *Guard) Start(ctx context.Context) {
	g.ctx = ctx
	go g.writer.run(ctx)
	g.SetRouters(nil)
}

// Metrics returns the Guard's counters.
func (g *Guard) Metrics() *expvar.Map { return g.metrics.vars }

// SetRouters sets the live routers of the instance list.
func (g *Guard) SetRouters(peers []Peer) {
	g.writer.post(g.ctx, event{event: g.homes.set(peers)})
}

// Finish keeps the result of a granted request and records it in the background.
// Until it is recorded, this process serves it to routers that ask for it.
func (g *Guard) Finish(r Request, result claims.Result) {
	g.mu.Lock()
	g.attempts.End(r.ID, result)
	g.mu.Unlock()
	call := g.call(claim.Finish, r)
	call.Result = result
	go g.record(call)
}

// First and longest delay between attempts to record a result or a release.
const (
	recordPause    = 100 * time.Millisecond
	recordPauseMax = 5 * time.Second
)

// record retries with exponential backoff until the result is stored or the key
// has expired.
func (g *Guard) record(call claim.Call) {
	until := time.Now().Add(g.cfg.Core.Expiry)
	for pause := recordPause; time.Now().Before(until); pause = min(2*pause, recordPauseMax) {
		ctx, cancel := context.WithTimeout(g.ctx, g.cfg.FinishWait)
		a := g.ask(ctx, call)
		cancel()
		if a.Verdict == claim.Done {
			break
		}
		if !g.sleep(pause) {
			return
		}
	}
	g.forget(call.Attempt)
}

// sleep waits for d; it returns false if the Guard's context ended first.
func (g *Guard) sleep(d time.Duration) bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Release releases the key of a request that was not run and never will be. It
// waits up to ReleaseWait for the release to be written. The caller may return
// not-run in any case, since this process reports the attempt as not run to
// every router that asks.
func (g *Guard) Release(r Request) {
	g.forget(r.ID)
	g.metrics.released.Add(1)
	done := g.release(r)
	if done == nil {
		return
	}
	timer := time.NewTimer(g.cfg.ReleaseWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// release writes a release in the background and returns a channel that is
// closed when the write has ended. It returns nil if MaxReleases are already in
// progress: other routers then learn by asking this process that the attempt was
// not run.
func (g *Guard) release(r Request) <-chan struct{} {
	select {
	case g.releases <- struct{}{}:
	default:
		return nil
	}
	done := make(chan struct{})
	call := g.call(claim.Release, r)
	go func() {
		defer func() { <-g.releases; close(done) }()
		for pause := recordPause; pause <= recordPauseMax; pause *= 2 {
			ctx, cancel := context.WithTimeout(g.ctx, g.cfg.FinishWait)
			a := g.ask(ctx, call)
			cancel()
			if a.Verdict == claim.Done {
				return
			}
			if !g.sleep(pause) {
				return
			}
		}
	}()
	return done
}

// Flush waits until every result is recorded or ctx ends.
func (g *Guard) Flush(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for g.pendingAttempts() > 0 {
		g.writer.post(ctx, event{event: claim.Flushed{}})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (g *Guard) pendingAttempts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Len()
}

func (g *Guard) begin(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Begin(id)
}

func (g *Guard) forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.Forget(id)
}

func (g *Guard) call(kind claim.Kind, r Request) claim.Call {
	return claim.Call{
		Kind:     kind,
		Key:      claims.NewKey(r.Team, r.Service, r.Key),
		Digest:   claims.NewDigest(r.Method, r.Path, r.Body),
		Attempt:  r.ID,
		Executor: g.executor,
	}
}
