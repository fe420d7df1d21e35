// Package attempts is the bounded table of the attempts that one sidecar was
// offered. It answers what became of an attempt, and it blocks attempts that
// it has not seen, so that a router may run them elsewhere.
//
// The package is pure: it has no I/O, clock or goroutines, and it holds no
// answers, only how many bytes of them are kept. The driver is
// transport/sidecar.
package attempts

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of a Table.
type Config struct {
	// BlockFor is how long an attempt that a router was told is blocked or
	// declined stays so. A start that arrives later would run. A router hands a start to its kernel before it
	// asks, and closes that connection, so this must be longer than a kernel
	// goes on sending for a closed connection (under two minutes on Linux).
	// Default 15m.
	BlockFor time.Duration
	// MaxBlocked bounds the attempts that a router was told are blocked or
	// declined. When it is reached, Settle tells that it does not know.
	// Default 8192.
	MaxBlocked int
	// KnownFor is how long an attempt that ended, or was declined and not
	// asked about, is remembered. Default 15m.
	KnownFor time.Duration
	// MaxKnown bounds those. Default 65536.
	MaxKnown int
	// AnswerFor is how long the answer of an ended attempt is kept.
	// Default 30s.
	AnswerFor time.Duration
	// AnswerBytes bounds the kept answers of ended attempts, in bytes.
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
