// Package staleness decides whether a router may send a request to a backend server, given
// the staleness of its view of which servers are shutting down.
//
// A watch of the store takes seconds to fail, a datagram is lost, or a router is not
// scheduled for a moment, and meanwhile a server starts to shut down. A view that is older
// than the bound on requests to departed servers is no evidence that a server still serves.
// There are two exceptions. While the store is unreachable no router can learn of a
// shutdown, and an outage of the store must not stop the fleet. And a recent response of a
// server that announces no shutdown is evidence of its own.
//
// The package does no I/O. Direct routers use it.
package staleness

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the time bounds of the decisions.
type Config struct {
	// Bound is the time after which a server that shut down must receive no requests.
	// Default 2s: the shortest that users require.
	Bound time.Duration
	// TransitTime is the part of Bound that is reserved for sending a request to its server.
	// Default 200ms.
	TransitTime time.Duration
	// Lead is how long before the view becomes too old it is refreshed from the store.
	// Default 250ms: several round trips to the store.
	Lead time.Duration
}

// DefaultConfig returns the default bounds.
func DefaultConfig() Config {
	return Config{Bound: 2 * time.Second, TransitTime: 200 * time.Millisecond, Lead: 250 * time.Millisecond}
}

// Validate returns an error if the bounds are inconsistent.
func (c Config) Validate() error {
	if c.TransitTime < 0 || c.Lead < 0 || c.Bound <= c.TransitTime+c.Lead {
		return errors.New("Bound must be above the sum of TransitTime and Lead, which must not be negative")
	}
	return nil
}

// Knowledge describes the view of a router that is about to send a request.
type Knowledge struct {
	// Known reports whether the router has had a view of the servers shutting down, Age
	// how long ago that view was confirmed as current.
	Known bool
	Age   time.Duration
	// StoreUnreachable reports whether the store responds neither to this router nor to the
	// routers that it receives gossip from.
	StoreUnreachable bool
	// Saturated reports whether the router has more work than its processor can handle.
	// What looks like an outage of the store may then be its own delay.
	Saturated bool
	// Answered reports whether the server has responded to a request without announcing a
	// shutdown, SinceAnswer how long ago that request was sent.
	Answered    bool
	SinceAnswer time.Duration
}

// NeedsRead reports whether the store is to be read before a request is sent, or in parallel
// with it.
func (c Config) NeedsRead(k Knowledge) bool {
	return !k.StoreUnreachable && (!k.Known || k.Age > c.Bound-c.TransitTime-c.Lead)
}

// IsStale reports whether the view is too old to rely on.
func (c Config) IsStale(k Knowledge) bool { return !k.Known || k.Age > c.Bound-c.TransitTime }

// IsBlind reports whether the router may send no requests to any server.
func (c Config) IsBlind(k Knowledge) bool { return k.Saturated && c.IsStale(k) }

// MaySend reports whether the router may send the server a request.
func (c Config) MaySend(k Knowledge) bool {
	switch {
	case !c.IsStale(k):
		return true
	case k.Saturated:
		return false
	case k.StoreUnreachable:
		return true
	default:
		return k.Answered && k.SinceAnswer <= c.Bound-c.TransitTime
	}
}
