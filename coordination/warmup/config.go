// Package warmup bounds the rate at which all routers together send to cold backend
// servers, without messages between the routers.
//
// It answers this pattern: a backend server that has just started can handle few requests a
// second, and crashes well above that rate. Every router sees it idle and prefers it at the
// same moment; when a whole data centre returns, that is a third of all traffic. The bound
// holds for the sum over the routers in any second, also while they are partitioned from
// each other.
//
// A server's rate is divided in fixed shares among the first routers of its rendezvous
// order, out of those that were registered in the store when the server turned cold. A
// router that registers later gets no share, and one whose own registration may have ended
// uses none, so that routers with views of different ages never have more than the whole
// rate together.
//
// A State performs no I/O and reads no clock. Direct routers use it.
package warmup

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of a State.
type Config struct {
	// Overrun and Slack define the bound of a second from a service's rate: the rate times
	// Overrun plus Slack. 0 for both: nothing is bounded.
	Overrun float64
	Slack   float64
	// Parts is the greatest number of routers among which a server's rate is divided; 0: as
	// many as it has whole requests a second. Default 0.
	Parts int
	// Window in which a router sends no more than its share. Default 1.1s: the bound is for
	// any second, and a request is sent up to SendWithin after it was counted.
	Window time.Duration
	// SendWithin is the longest time between the decision to send and the send. Default
	// 100ms.
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
	check(c.Window >= time.Second+c.SendWithin, "Window must be at least a second plus SendWithin")
	return err
}
