// Package freshness decides whether a router may serve requests that need a
// key: only while its configuration is confirmed to have been the newest
// revision at a sufficiently recent time.
//
// The types do no I/O and read no clock. All times are readings of one clock
// that keeps running while the process or its instance is suspended, so that a
// router detects after a suspension that its configuration is stale.
//
// Direct routers use it.
package freshness

import "time"

// Tracker holds the latest time at which the configuration was confirmed to be
// the newest revision. It must not be used concurrently. Invariant: that time
// never decreases.
type Tracker struct {
	// bound is the staleness up to which requests are served.
	bound       time.Duration
	confirmedAt time.Duration
	confirmed   bool
}

// New returns a tracker without a confirmed configuration. The bound is the time
// after which a revoked key must no longer work, less a margin for sending the
// request to its backend server.
func New(bound time.Duration) *Tracker { return &Tracker{bound: bound} }

// Confirm records that a linearizable read returned the configuration that the
// router has adopted. The time counts at which the read was sent, not that of
// its response: a change may have been committed while the response was in
// transit.
func (t *Tracker) Confirm(sent time.Duration) {
	if !t.confirmed || sent > t.confirmedAt {
		t.confirmedAt, t.confirmed = sent, true
	}
}

// Age returns the staleness of the configuration, and whether any was confirmed.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	return now - t.confirmedAt, t.confirmed
}

// Fresh reports whether requests that need a key may be served now.
func (t *Tracker) Fresh(now time.Duration) bool { return t.confirmed && now-t.confirmedAt <= t.bound }

// SetBound changes the staleness up to which requests are served.
func (t *Tracker) SetBound(bound time.Duration) { t.bound = bound }
