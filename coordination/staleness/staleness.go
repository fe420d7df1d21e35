// Package staleness decides whether a backend server may be sent a request by knowledge of
// who leaves that is so old.
//
// The pattern that it answers: a watch of the store takes seconds to fail, a datagram is
// lost, a router did not run for a moment, and meanwhile a server leaves. Knowledge that is
// older than the bound on requests to servers that left proves nothing about them any more.
// But a store that is away tells nobody that a server leaves, and must not stop the fleet;
// and a server whose answer says nothing of leaving speaks for itself.
//
// The package is pure. Direct routers use it.
package staleness

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of the rule.
type Config struct {
	// Bound is the time after which a server that left must get nothing. Default 2s: the
	// users' shortest.
	Bound time.Duration
	// Way is the part of the bound that is kept for the way of a request to its server.
	// Default 200ms.
	Way time.Duration
	// Lead is how long before knowledge is too old the store is asked for newer. Default
	// 250ms: some answers of it.
	Lead time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Bound: 2 * time.Second, Way: 200 * time.Millisecond, Lead: 250 * time.Millisecond}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	if c.Way < 0 || c.Lead < 0 || c.Bound <= c.Way+c.Lead {
		return errors.New("Bound must be above the sum of Way and Lead, which must not be negative")
	}
	return nil
}

// Knowledge is what a router knows when it is to send a request.
type Knowledge struct {
	// Known tells that it has known at all who leaves, Age how long ago that was the newest.
	Known bool
	Age   time.Duration
	// StoreAway tells that the store answers neither this router nor those that it hears.
	StoreAway bool
	// Saturated tells that it has more work than its processor can do: what it takes for an
	// outage of the store may be its own lateness.
	Saturated bool
	// Answered tells that the server has answered a request without saying that it leaves,
	// SinceAnswer how long ago that was sent.
	Answered    bool
	SinceAnswer time.Duration
}

// Asks reports whether the store is to be asked before a request is sent, or beside it.
func (c Config) Asks(k Knowledge) bool {
	return !k.StoreAway && (!k.Known || k.Age > c.Bound-c.Way-c.Lead)
}

// IsOld reports whether the knowledge is too old to rest on.
func (c Config) IsOld(k Knowledge) bool { return !k.Known || k.Age > c.Bound-c.Way }

// IsBlind reports whether no server may be sent anything.
func (c Config) IsBlind(k Knowledge) bool { return k.Saturated && c.IsOld(k) }

// MaySend reports whether the server may be sent a request.
func (c Config) MaySend(k Knowledge) bool {
	switch {
	case !c.IsOld(k):
		return true
	case k.Saturated:
		return false
	case k.StoreAway:
		return true
	default:
		return k.Answered && k.SinceAnswer <= c.Bound-c.Way
	}
}
