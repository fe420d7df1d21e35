// Package attempts implements the bounded table of the attempts that one sidecar
// was offered. It reports the state of an attempt, and blocks attempts that it
// has not seen, so that a router may run them elsewhere.
//
// The package has no I/O, clock or goroutines. It stores the sizes of the
// retained answers, not the answers themselves. transport/sidecar drives it.
package attempts

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config contains the limits of a Table.
type Config struct {
	// BlockFor is how long an attempt stays denied after it was reported to a
	// router as blocked or declined; a start that arrives later would run. A
	// router passes the start to its kernel and closes that connection before
	// it queries the attempt. So this must exceed the time for which a kernel
	// keeps sending on a closed connection (under two minutes on Linux).
	// Default 15m.
	BlockFor time.Duration
	// MaxBlocked limits the number of attempts reported to routers as blocked
	// or declined. When it is reached, Settle returns Unsure. Default 8192.
	MaxBlocked int
	// KnownFor is how long an attempt is retained that ended, or that was
	// declined without being queried by a router. Default 15m.
	KnownFor time.Duration
	// MaxKnown limits the number of attempts retained for KnownFor. Default
	// 65536.
	MaxKnown int
	// AnswerFor is how long the answer of an ended attempt is retained.
	// Default 30s.
	AnswerFor time.Duration
	// AnswerBytes limits the total size of the retained answers, in bytes.
	// Default 32 MiB.
	AnswerBytes int64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		BlockFor:    15 * time.Minute,
		MaxBlocked:  8192,
		KnownFor:    15 * time.Minute,
		MaxKnown:    65536,
		AnswerFor:   30 * time.Second,
		AnswerBytes: 32 << 20,
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
	check(c.BlockFor > 0, "BlockFor must be positive")
	check(c.MaxBlocked > 0, "MaxBlocked must be positive")
	check(c.KnownFor > 0, "KnownFor must be positive")
	check(c.MaxKnown > 0, "MaxKnown must be positive")
	check(c.AnswerFor > 0 && c.AnswerFor <= c.KnownFor, "AnswerFor must be positive and at most KnownFor")
	check(c.AnswerBytes >= 0, "AnswerBytes must not be negative")
	return err
}
