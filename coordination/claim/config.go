// Package claim decides how claims on idempotency keys are written to the
// platform's key-value service: which are granted, which calls are grouped
// into one compare-and-swap, and when a shard is read again.
//
// State is a pure state machine: Step takes an event and the time and returns
// the actions to perform. The driver is transport/claims.
//
// Routers with sidecars use it, for idempotency keys.
package claim

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of the claims.
type Config struct {
	// Gap is the least time between two writes of one shard by its home, in
	// nanoseconds. All shards together make Shards/Gap writes a second at
	// most. Default 100ms: 160 writes a second.
	Gap time.Duration
	// FinishDelay is how long a result waits for a claim to be written with,
	// in nanoseconds. Default 1s.
	FinishDelay time.Duration
	// Backoff is the first pause of a shard after a write that was refused or
	// not answered, in nanoseconds; it doubles up to BackoffMax. Default 50ms.
	Backoff time.Duration
	// BackoffMax bounds the pause, in nanoseconds. Default 1s.
	BackoffMax time.Duration
	// Expiry is how long a key is remembered, in nanoseconds. It must exceed
	// every request deadline and clock difference. Default 23h.
	Expiry time.Duration
	// MaxBytes bounds the stored value of one shard, in bytes. The platform
	// holds 1 MiB. Default 1000 KiB.
	MaxBytes int
	// SealBytes is the size of a shard's value, in bytes, from which its ended
	// records move to a segment of their own, so that each write stays small.
	// Default 64 KiB.
	SealBytes int
	// MaxSealed bounds the segments of one shard. With Shards and SealBytes it
	// bounds the keys that are remembered. Default 256.
	MaxSealed int
	// MaxPending bounds the calls that wait at one shard. Default 4096.
	MaxPending int
	// Budget is the rate of writes that all routers together make for shards
	// whose home does not answer, per second. Default 40.
	Budget float64
	// Seed of the random part of a pause.
	Seed uint64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Gap:         100 * time.Millisecond,
		FinishDelay: time.Second,
		Backoff:     50 * time.Millisecond,
		BackoffMax:  time.Second,
		Expiry:      23 * time.Hour,
		MaxBytes:    1000 << 10,
		SealBytes:   64 << 10,
		MaxSealed:   256,
		MaxPending:  4096,
		Budget:      40,
	}
}

// minExpiry is twice the longest deadline of a request (protocol/settings).
const minExpiry = 20 * time.Minute

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, text string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(text))
		}
	}
	check(c.Gap > 0, "Gap must be positive")
	check(c.FinishDelay >= 0, "FinishDelay must not be negative")
	check(c.Backoff > 0, "Backoff must be positive")
	check(c.BackoffMax >= c.Backoff, "BackoffMax must be at least Backoff")
	check(c.Expiry >= minExpiry, "Expiry must be at least 20m")
	check(c.MaxBytes > 0 && c.MaxBytes <= 1<<20, "MaxBytes must lie in 1..1048576")
	check(c.SealBytes > 0 && c.SealBytes <= c.MaxBytes, "SealBytes must lie in 1..MaxBytes")
	check(c.MaxSealed >= 0, "MaxSealed must not be negative")
	check(c.MaxPending > 0, "MaxPending must be positive")
	check(c.Budget > 0, "Budget must be positive")
	return err
}
