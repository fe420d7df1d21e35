// Package lease decides whether a sidecar may start new runs. Of several
// sidecars that were started for the same slot only one serves, and a sidecar
// whose process was suspended for longer than its lease starts nothing until the
// platform has confirmed its state.
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

// Config holds the timing parameters of a lease.
type Config struct {
	// TTL is the time after which the lease expires unless it is renewed.
	// Default 75s.
	TTL time.Duration
	// RenewEvery is the mean time between renewals. At the default of 25s,
	// 2,200 sidecars make 88 renewals a second.
	RenewEvery time.Duration
	// RetryEvery is the mean time between attempts while the platform does not
	// respond. At the default of 10s, 2,200 sidecars make 220 calls a second
	// when it recovers.
	RetryEvery time.Duration
	// Jitter is the fraction by which RenewEvery and RetryEvery vary at random.
	// Default 0.2.
	Jitter float64
	// Pause is the time without a tick after which the process is taken to have
	// been suspended. Default 15s.
	Pause time.Duration
	// Seed seeds the random source of the jitter.
	Seed uint64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config { return ForTTL(75 * time.Second) }

// ForTTL returns the default parameters scaled to the TTL.
func ForTTL(ttl time.Duration) Config {
	return Config{
		TTL:        ttl,
		RenewEvery: ttl / 3,
		RetryEvery: ttl * 2 / 15,
		Jitter:     0.2,
		Pause:      ttl / 5,
	}
}

// Validate returns an error that names each field that is out of range.
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
