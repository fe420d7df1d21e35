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

// Request is a non-idempotent request with a caller's key.
type Request struct {
	// ID is unique over the fleet and all time.
	ID      string
	Team    string
	Service string
	Key     string
	Method  string
	Path    string
	// Body is not used after the call that it is given to.
	Body []byte
}

// Guard claims keys for this process and keeps the attempts that it may
// dispatch.
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

// New returns a Guard of a new incarnation. The config must be valid.
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

// Start runs the Guard's duty until ctx ends. It must be called before any
// other method but Metrics.
func (g *Guard) Start(ctx context.Context) {
	g.ctx = ctx
	go g.writer.run(ctx)
	g.SetRouters(nil)
}

// Metrics returns the Guard's counters.
func (g *Guard) Metrics() *expvar.Map { return g.metrics.vars }

// SetRouters takes the live routers of the instance list.
func (g *Guard) SetRouters(peers []Peer) {
	g.writer.post(g.ctx, event{event: g.homes.set(peers)})
}

// Finish keeps the result of a granted request and records it behind the
// caller's back. Until it is recorded this process answers for it.
func (g *Guard) Finish(r Request, result claims.Result) {
	g.mu.Lock()
	g.attempts.End(r.ID, result)
	g.mu.Unlock()
	call := g.call(claim.Finish, r)
	call.Result = result
	go g.record(call)
}

// Pauses between tries to record a result.
const (
	recordPause    = 100 * time.Millisecond
	recordPauseMax = 5 * time.Second
)

// record tries until the result is in the record or the key has expired.
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

// sleep waits and reports whether the process still runs.
func (g *Guard) sleep(d time.Duration) bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Release gives up the key of a request that was not run and never will be.
// It waits a short time for the release to be written; the caller may be told
// not-run in any case, since this process says so to whoever asks.
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
// closed at its end, or nil when too many are under way: the claim is then
// recognised later by asking this process.
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
	for g.held() > 0 {
		g.writer.post(ctx, event{event: claim.Flushed{}})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (g *Guard) held() int {
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
