// Package lease decides, at one sidecar, whether it may start new runs: only
// one of several sidecars that were started for one slot serves, and one that
// was frozen for longer than its lease does nothing on old knowledge.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the actions to perform. It has no I/O, clock or goroutines. The
// driver is transport/sidecar.
//
// Sidecars use it.
package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the times of a lease.
type Config struct {
	// TTL after which the lease lapses unless it is renewed. Default 75s.
	TTL time.Duration
	// RenewEvery is the mean time between renewals. At the default of 25s,
	// 2,200 sidecars make 88 renewals a second.
	RenewEvery time.Duration
	// RetryEvery is the mean time between tries while the platform does not
	// answer. At the default of 10s, 2,200 sidecars make 220 tries a second
	// when it comes back.
	RetryEvery time.Duration
	// Jitter is the fraction by which each of these times varies. Default 0.2.
	Jitter float64
	// Pause is the time without a tick from which on the process counts as
	// having been frozen. Default 15s.
	Pause time.Duration
	// Seed of the jitter.
	Seed uint64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config { return ForTTL(75 * time.Second) }

// ForTTL returns the defaults in proportion to the TTL.
func ForTTL(ttl time.Duration) Config {
	return Config{
		TTL:        ttl,
		RenewEvery: ttl / 3,
		RetryEvery: ttl * 2 / 15,
		Jitter:     0.2,
		Pause:      ttl / 5,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, msg string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(msg))
		}
	}
	check(c.TTL > 0, "TTL must be positive")
	check(c.RenewEvery > 0 && 2*c.RenewEvery < c.TTL, "RenewEvery must be positive and less than half of TTL")
	check(c.RetryEvery > 0, "RetryEvery must be positive")
	check(c.Jitter >= 0 && c.Jitter < 1, "Jitter must be at least 0 and less than 1")
	check(c.Pause > 0 && c.Pause <= c.TTL, "Pause must be positive and at most TTL")
	return err
}
