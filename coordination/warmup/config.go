// Package warmup bounds what cold backend servers get from all routers together,
// without a word between the routers.
//
// The pattern that it answers: a backend server that has just started bears few
// requests a second, and crashes well above that. Every router sees it idle and
// prefers it at the same moment; when a whole data centre comes back, a third of
// all traffic does. The bound holds for the sum over the routers in any second,
// also while they cannot hear each other.
//
// A server's rate is dealt out in fixed parts to the first routers of its
// rendezvous order over those that were registered in the store when it turned
// cold. A router that registers later gets no part of it, and one whose own
// registration may have ended uses none, so that routers whose knowledge is of
// different ages never hold more than all parts together.
//
// A State is pure. Direct routers use it.
package warmup

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of a State.
type Config struct {
	// Overrun and Slack make the bound of a second from a service's rate: the
	// rate times Overrun plus Slack. 0 for both: nothing is bounded.
	Overrun float64
	Slack   float64
	// Parts is the greatest number of routers among which a server's rate is
	// dealt out; 0: as many as it has whole requests a second. Default 0.
	Parts int
	// Window in which a router sends no more than its part. Default 1.1s: the
	// bound is of any second, and a request leaves up to SendWithin after it was
	// counted.
	Window time.Duration
	// SendWithin is the longest time between the decision to send and the send.
	// Default 100ms.
	SendWithin time.Duration
}

// DefaultConfig returns the documented defaults, which bound nothing.
func DefaultConfig() Config {
	return Config{Window: 1100 * time.Millisecond, SendWithin: 100 * time.Millisecond}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.Overrun >= 0, "Overrun must not be negative")
	check(c.Slack >= 0, "Slack must not be negative")
	check(c.Parts >= 0, "Parts must not be negative")
	check(c.SendWithin > 0, "SendWithin must be positive")
	check(c.Window >= time.Second+c.SendWithin, "Window must be a second and SendWithin at least")
	return err
}
