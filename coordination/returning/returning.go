// Package returning tells how long a caller has been waiting since its first
// attempt, from the time that it still has: callers of one route have the same
// time at first, and less when they come back after a refusal.
//
// A Tracker is pure.
//
// Direct routers use it.
package returning

import "time"

// Config holds the times of a Tracker.
type Config struct {
	// Least is the shortest time that counts as waiting. A first attempt loses
	// some milliseconds to the opening of its connection; one that was refused
	// comes back after 50 ms or more. Default 40ms.
	Least time.Duration
	// Memory is how long the greatest time of a route counts; a route's
	// callers may get less time with a new configuration. Default 10s.
	Memory time.Duration
	// Greatest is the longest wait that is believed. Default 2/3 of the
	// greatest time: callers come back within a third of what they have left.
	Greatest float64
	// Telling is the share of a route's requests up to which those that seem to
	// have waited are believed. Where callers bound their time differently
	// nearly all seem so, and the time says nothing of an earlier attempt; one
	// that is refused comes back once, which makes half. Default 0.6.
	Telling float64
	// Enough is the number of requests from which that share is judged.
	// Default 20.
	Enough int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Least: 40 * time.Millisecond, Memory: 10 * time.Second, Greatest: 2.0 / 3, Telling: 0.6, Enough: 20}
}

// longest is the greatest time of a route in two spans of the memory.
type longest struct {
	began       time.Time
	now, before time.Duration
	// seen counts the requests of both spans, waited those that seemed to have
	// waited.
	seen, waited [2]int
}

// tells reports whether the time that is left says who comes back.
func (l *longest) tells(cfg Config) bool {
	seen, waited := l.seen[0]+l.seen[1], l.waited[0]+l.waited[1]
	return seen < cfg.Enough || float64(waited) <= cfg.Telling*float64(seen)
}

// turn begins a new span.
func (l *longest) turn(now time.Time) {
	l.began, l.before, l.now = now, l.now, 0
	l.seen = [2]int{0, l.seen[0]}
	l.waited = [2]int{0, l.waited[0]}
}

// Tracker holds the greatest time of each route. It must be used by one
// goroutine at a time.
type Tracker struct {
	cfg    Config
	routes map[string]*longest
}

// New returns a tracker that knows no route.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, routes: make(map[string]*longest)} }

// Elapsed returns the time since the caller's first attempt, 0 for a first
// attempt or when it cannot be told. Late is how long a request may have lain
// unread at this router, which is no sign of an earlier attempt.
func (t *Tracker) Elapsed(now time.Time, route string, left, late time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	l := t.routes[route]
	if l == nil {
		l = &longest{began: now}
		t.routes[route] = l
	}
	if now.Sub(l.began) > t.cfg.Memory {
		l.turn(now)
	}
	l.seen[0]++
	l.now = max(l.now, left)
	full := max(l.now, l.before)
	waited := full - left
	if waited < t.cfg.Least+late || float64(waited) > t.cfg.Greatest*float64(full) {
		return 0
	}
	l.waited[0]++
	if !l.tells(t.cfg) {
		return 0
	}
	return waited
}
