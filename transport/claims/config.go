// Package claims runs non-idempotent requests that carry a caller's key at
// most once: it claims the key on the platform's key-value service before the
// run, and records the result after it.
//
// transport/router calls the Guard for each such request and serves the
// Claims protocol to other routers. coordination/claim decides what is
// written; this package performs it.
package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/claim"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/claims"
)

// Config holds the bounds of a Guard.
type Config struct {
	// Core holds the bounds of the decisions.
	Core claim.Config
	// Wait bounds the time from a request to its claim, in nanoseconds.
	// Default 500ms.
	Wait time.Duration
	// PeerWait bounds one call to another router, in nanoseconds. Default
	// 250ms.
	PeerWait time.Duration
	// CallTimeout bounds one call to the platform, in nanoseconds. Default
	// 400ms.
	CallTimeout time.Duration
	// FinishWait bounds one try to record a result, in nanoseconds. Default
	// 5s.
	FinishWait time.Duration
	// ReleaseWait bounds how long a caller waits for its key to be given up,
	// in nanoseconds. Default 500ms.
	ReleaseWait time.Duration
	// SuspectFor is how long a router that did not answer is passed over, in
	// nanoseconds. Default 2s.
	SuspectFor time.Duration
	// MaxAttempts bounds the attempts and unwritten results held. Default
	// 4096.
	MaxAttempts int
	// MaxReleases bounds the releases under way behind callers' backs; a
	// claim that is not released is recognised later. Default 256.
	MaxReleases int
	// MaxAnswer bounds an answer kept with its key, in bytes. Default 4096.
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

// Validate returns an error that names each field out of range.
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
	check(c.MaxAnswer >= 0 && c.MaxAnswer*maxAnswerParts <= c.Core.MaxBytes,
		"MaxAnswer must not exceed a 16th of MaxBytes")
	return err
}

// maxAnswerParts keeps one answer from filling a shard.
const maxAnswerParts = 16

// Peer is another router.
type Peer struct {
	ID string
	// Address for other routers, IP:port.
	Address string
}

// Peers opens the claims of other routers. transport/link implements it.
type Peers interface {
	// Claims returns a client of the claims at the router of the address.
	Claims(ctx context.Context, addr string) wire.DRPCClaimsClient
}

// shards is the number of shards, for short.
const shards = claims.Shards
