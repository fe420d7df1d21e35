// Package claim decides how claims on idempotency keys are written to the
// platform's key-value service: which claims are granted, which calls are
// batched into one compare-and-swap, and when a shard is read again.
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

// Config holds the limits and intervals of the claim writer.
type Config struct {
	// Gap is the minimum time between two writes of one shard by its home
	// router, in nanoseconds. All shards together make at most Shards/Gap
	// writes per second. Default 100ms: 160 writes per second.
	Gap time.Duration
	// FinishDelay is how long a result is held back so that it can share a
	// write with a claim, in nanoseconds. Default 1s.
	FinishDelay time.Duration
	// Backoff is the initial retry delay of a shard after a failed or
	// unanswered call, in nanoseconds; it doubles up to BackoffMax. Default
	// 50ms.
	Backoff time.Duration
	// BackoffMax is the maximum retry delay, in nanoseconds. Default 1s.
	BackoffMax time.Duration
	// Expiry is how long the record of a key is kept, in nanoseconds. It must
	// exceed every request deadline plus the clock skew. Default 23h.
	Expiry time.Duration
	// MaxBytes limits the stored value of one shard, in bytes. The platform
	// accepts values up to 1 MiB. Default 1000 KiB.
	MaxBytes int
	// SealBytes is the size of a shard's value, in bytes, at which its ended
	// records are moved to a separate segment, so that each write stays small.
	// Default 64 KiB.
	SealBytes int
	// MaxSealed limits the segments of one shard. Together with Shards and
	// SealBytes it limits the number of keys that are kept. Default 256.
	MaxSealed int
	// MaxPending limits the pending calls of one shard. Default 4096.
	MaxPending int
	// Budget is the total rate of writes, over all routers, to shards whose
	// home router does not answer, per second. Default 40.
	Budget float64
	// Seed of the jitter of retry delays.
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

// minExpiry is twice the maximum request deadline (protocol/settings).
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
	check(c.MaxBytes > 0 && c.MaxBytes <= 1<<20, "MaxBytes must be in 1..1048576")
	check(c.SealBytes > 0 && c.SealBytes <= c.MaxBytes, "SealBytes must be in 1..MaxBytes")
	check(c.MaxSealed >= 0, "MaxSealed must not be negative")
	check(c.MaxPending > 0, "MaxPending must be positive")
	check(c.Budget > 0, "Budget must be positive")
	return err
}
