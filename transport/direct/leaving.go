package direct

import (
	"sync"
	"time"

	"goldcrestport/coordination/leave"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/routing"
)

// leaving decides which requests are taken while the router shuts down. Its methods may be called concurrently.
type leaving struct {
	mu        sync.Mutex
	durations *leave.Durations
	cfg       leave.Config
	// endsAt is when the requests in flight are ended; zero while the router does not shut down.
	endsAt time.Time
}

func newLeaving() *leaving { return &leaving{durations: leave.NewDurations()} }

// begin records that the router shuts down from now on.
func (l *leaving) begin(now time.Time, cfg leave.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg, l.endsAt = cfg, now.Add(cfg.Bound)
}

// completed records how long an answer of the route took.
func (l *leaving) completed(now time.Time, route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations.Record(now, route, took)
}

// keep forgets all but the given routes.
func (l *leaving) keep(routes []routing.Route) {
	names := make(map[string]bool, len(routes))
	for _, one := range routes {
		names[one.Name] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.durations.Keep(func(kind string) bool { return names[kind] })
}

// fits reports whether a request of the route that its caller awaits for so long is expected to end before the
// requests in flight are ended.
func (l *leaving) fits(now time.Time, route *routing.Route, left time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endsAt.IsZero() {
		return true
	}
	one := leave.Request{TimeLeft: left, RunsOnce: route.Kind == routing.NonIdempotent}
	one.Longest, one.IsKnown = l.durations.Longest(now, route.Name)
	return l.cfg.Fits(l.endsAt.Sub(now), one)
}

// leavingRefusal is the refusal of a request that the router does not take any more.
func leavingRefusal() *outcome.Outcome {
	return notRun(outcome.ReasonLeaving, staleRetryAfter, "this router is leaving")
}

// isTaken reports whether the request is taken while the router shuts down. Streams are until new connections come no
// longer, as they go on elsewhere if they outlast the process; short requests are longer, while streams keep the process
// running.
func (c *call) isTaken() bool {
	r := c.r
	if r.ending.Err() != nil || r.shuttingDown.Load() && (c.route.Kind == routing.Streaming || r.load.openStreams() == 0) {
		return false
	}
	return !c.outlastsRouter()
}

// outlastsRouter reports whether the request, which is no stream, may still run when the requests in flight are ended
// as the router shuts down.
func (c *call) outlastsRouter() bool {
	return c.r.unready.Load() && c.route.Kind != routing.Streaming && !c.r.leaving.fits(time.Now(), c.route, c.left())
}
