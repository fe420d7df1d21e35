// Package returning estimates how long a caller has been waiting since its
// first attempt, from the time left until its deadline: the callers of one
// route start with the same timeout, and have less time left when they retry
// after a refusal.
//
// A Tracker does no I/O and reads no clock. Direct routers use it.
package returning

import "time"

// Config holds the parameters of a Tracker.
type Config struct {
	// MinWait is the shortest time that counts as a wait. A first attempt loses
	// some milliseconds while its connection is opened; a refused caller retries
	// after 50 ms or more. Default 40ms.
	MinWait time.Duration
	// Window is the length of a window of the timeout estimate. The estimate
	// must expire because a new configuration can shorten the timeout of a
	// route's callers. Default 10s.
	Window time.Duration
	// MaxWaitFraction is the longest wait that is accepted, as a fraction of the
	// route's timeout. Default 2/3: callers retry within a third of the time
	// that they have left.
	MaxWaitFraction float64
	// MaxRetryFraction is the largest fraction of a route's requests that may
	// look like retries for the estimate to be used. Where callers have different
	// timeouts nearly all requests look like retries, and the time left says
	// nothing about an earlier attempt. If each caller is refused once and
	// retries, half of the requests are retries. Default 0.6.
	MaxRetryFraction float64
	// MinSamples is the number of requests from which that fraction is evaluated.
	// Default 20.
	MinSamples int
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{MinWait: 40 * time.Millisecond, Window: 10 * time.Second, MaxWaitFraction: 2.0 / 3, MaxRetryFraction: 0.6, MinSamples: 20}
}

// timeoutEstimate estimates the timeout of a route's callers as the longest
// time left in the current and the previous window.
type timeoutEstimate struct {
	windowStart       time.Time
	current, previous time.Duration
	// requests counts the requests of the current and the previous window,
	// retries those that look like retries.
	requests, retries [2]int
}

// isInformative reports whether the time left distinguishes retries from first
// attempts.
func (e *timeoutEstimate) isInformative(cfg Config) bool {
	requests, retries := e.requests[0]+e.requests[1], e.retries[0]+e.retries[1]
	return requests < cfg.MinSamples || float64(retries) <= cfg.MaxRetryFraction*float64(requests)
}

// startWindow starts a new window.
func (e *timeoutEstimate) startWindow(now time.Time) {
	e.windowStart, e.previous, e.current = now, e.current, 0
	e.requests = [2]int{0, e.requests[0]}
	e.retries = [2]int{0, e.retries[0]}
}

// Tracker estimates the callers' timeout of each route. It must not be used
// concurrently.
type Tracker struct {
	cfg    Config
	routes map[string]*timeoutEstimate
}

// New returns a tracker without routes.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, routes: make(map[string]*timeoutEstimate)} }

// Elapsed returns the estimated time since the caller's first attempt, 0 for a
// first attempt or if it can't be estimated. The time left until the caller's
// deadline is 0 if unknown. A request may have waited unread in the socket
// buffer of this router for up to readDelay, which is no sign of an earlier
// attempt.
func (t *Tracker) Elapsed(now time.Time, route string, left, readDelay time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	est := t.routes[route]
	if est == nil {
		est = &timeoutEstimate{windowStart: now}
		t.routes[route] = est
	}
	if now.Sub(est.windowStart) > t.cfg.Window {
		est.startWindow(now)
	}
	est.requests[0]++
	est.current = max(est.current, left)
	timeout := max(est.current, est.previous)
	waited := timeout - left
	if waited < t.cfg.MinWait+readDelay || float64(waited) > t.cfg.MaxWaitFraction*float64(timeout) {
		return 0
	}
	est.retries[0]++
	if !est.isInformative(t.cfg) {
		return 0
	}
	return waited
}
