// Package freshness decides whether a router may serve requests that need a
// key: only while it can show that its configuration was the newest one at a
// moment that is recent enough.
//
// A Tracker is pure. Times are readings of one clock that goes on while the
// process or its instance is suspended, so that a router that wakes up knows
// that its knowledge is old.
//
// Direct routers use it.
package freshness

import "time"

// Tracker holds the last moment at which the configuration was known to be the
// newest. It must be used by one goroutine at a time. Invariant: that moment
// never goes back.
type Tracker struct {
	// bound is the greatest age of knowledge that still serves.
	bound time.Duration
	asOf  time.Duration
	known bool
}

// New returns a tracker that knows nothing yet. The bound is the time after
// which a key that was taken away must no longer work, less a margin for the
// way of the request to its backend server.
func New(bound time.Duration) *Tracker { return &Tracker{bound: bound} }

// Confirm notes that a linearizable read that was sent at the moment found the
// configuration, which the router has adopted. The sending counts, not the
// answer: a change may have been accepted while the answer was on its way.
func (t *Tracker) Confirm(sent time.Duration) {
	if !t.known || sent > t.asOf {
		t.asOf, t.known = sent, true
	}
}

// Age returns how old the knowledge is, and whether there is any.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) { return now - t.asOf, t.known }

// Fresh reports whether requests that need a key may be served now.
func (t *Tracker) Fresh(now time.Duration) bool { return t.known && now-t.asOf <= t.bound }

// SetBound changes the greatest age of knowledge that serves.
func (t *Tracker) SetBound(bound time.Duration) { t.bound = bound }
