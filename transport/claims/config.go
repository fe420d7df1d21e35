// Package claims makes a non-idempotent request that carries an idempotency key
// run at most once: it claims the key in the platform's key-value service before
// the run, and records the result after it.
//
// transport/router calls the Guard for each such request and serves the
// Claims protocol to other routers. coordination/claim decides what to write;
// this package performs the calls.
package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/claim"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/claims"
)

// Config holds the time and size limits of a Guard.
type Config struct {
	// Core holds the limits of the decision logic.
	Core claim.Config
	// Wait bounds the time that a request waits for its claim, in nanoseconds.
	// Default 500ms.
	Wait time.Duration
	// PeerWait bounds one call to another router, in nanoseconds. Default
	// 250ms.
	PeerWait time.Duration
	// CallTimeout bounds one call to the platform, in nanoseconds. Default
	// 400ms.
	CallTimeout time.Duration
	// FinishWait bounds one attempt to record a result or to release a key, in
	// nanoseconds. Default 5s.
	FinishWait time.Duration
	// ReleaseWait bounds how long a caller waits for its key to be released,
	// in nanoseconds. Default 500ms.
	ReleaseWait time.Duration
	// SuspectFor is how long a router that did not answer is skipped, in
	// nanoseconds. Default 2s.
	SuspectFor time.Duration
	// MaxAttempts bounds the attempts in flight and the results not yet
	// recorded. Default 4096.
	MaxAttempts int
	// MaxReleases bounds the concurrent background releases. Beyond it a claim
	// is not released; it is recognised as not run when its key is next
	// claimed. Default 256.
	MaxReleases int
	// MaxAnswer bounds the response body stored with its key, in bytes. Default 4096.
	MaxAnswer int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Core:        claim.DefaultConfig(),
		Wait:        500 * time.Millisecond,
		PeerWait:    250 * time.Millisecond,
		CallTimeout: 400 * time.Millisecond,
		FinishWait:  5 * time.Second,
		ReleaseWait: 500 * time.Millisecond,
		SuspectFor:  2 * time.Second,
		MaxAttempts: 4096,
		MaxReleases: 256,
		MaxAnswer:   4096,
	}
}

// Validate returns an error that names each field that is out of range.
func (c Config) Validate() error {
	err := c.Core.Validate()
	check := func(ok bool, text string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(text))
		}
	}
	check(c.Wait > 0, "Wait must be positive")
	check(c.PeerWait > 0, "PeerWait must be positive")
	check(c.CallTimeout > 0, "CallTimeout must be positive")
	check(c.FinishWait > c.Core.FinishDelay, "FinishWait must exceed FinishDelay")
	check(c.ReleaseWait >= 0, "ReleaseWait must not be negative")
	check(c.SuspectFor >= 0, "SuspectFor must not be negative")
	check(c.MaxAttempts > 0, "MaxAttempts must be positive")
	check(c.MaxReleases > 0, "MaxReleases must be positive")
	check(c.MaxAnswer >= 0 && c.MaxAnswer*minAnswersPerShard <= c.Core.MaxBytes,
		"MaxAnswer must not be negative or exceed 1/16 of MaxBytes")
	return err
}

// minAnswersPerShard is the smallest allowed ratio of Core.MaxBytes to MaxAnswer. It
// keeps a single response from filling a shard.
const minAnswersPerShard = 16

// Peer is another router.
type Peer struct {
	ID string
	// Address at which other routers reach this one, IP:port.
	Address string
}

// Peers gives access to the Claims protocol of other routers. transport/link
// implements it.
type Peers interface {
	// Claims returns a Claims client for the router at the address.
	Claims(ctx context.Context, addr string) wire.DRPCClaimsClient
}

const shards = claims.Shards
