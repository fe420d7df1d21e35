// Package limit decides how many requests a sidecar lets run at once at its
// backend server: from the times to the first token and between tokens, and
// from whether the server answers at all.
//
// The types are pure: they take measurements and hold no clock. The driver is
// transport/sidecar.
//
// Sidecars use it.
package limit

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of a Limiter.
type Config struct {
	// Min is the smallest limit, in requests. Default 1.
	Min int
	// Max is the largest limit and the first one, in requests. Default 8.
	Max int
	// First is the target of the time to the first token, for 95 in 100.
	// Default 970ms.
	First time.Duration
	// Gap is the target of the time between tokens, for 95 in 100.
	// Default 50ms.
	Gap time.Duration
	// MinSamples is the number of samples below which a percentile is not
	// used. Default 20.
	MinSamples int
	// Settle is the number of windows after a change in which nothing is
	// decided, since what is measured and reported lags. It must cover the
	// lag of the engine's report. Default 3.
	Settle int
	// Headroom is the part of the targets below which the limit may rise.
	// Default 0.9.
	Headroom float64
	// Deepest is the smallest factor of one decrease. Default 0.7.
	Deepest float64
	// Again is the number of windows after which a limit that was too high is
	// tried again. Default 30.
	Again int
	// Futile is the number of decreases in a row without effect after which
	// they are taken back. Default 2.
	Futile int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Min:        1,
		Max:        8,
		First:      970 * time.Millisecond,
		Gap:        50 * time.Millisecond,
		MinSamples: 20,
		Settle:     3,
		Headroom:   0.9,
		Deepest:    0.7,
		Again:      30,
		Futile:     2,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.Min > 0, "Min must be positive")
	check(c.Max >= c.Min, "Max must be at least Min")
	check(c.First > 0, "First must be positive")
	check(c.Gap > 0, "Gap must be positive")
	check(c.MinSamples > 0, "MinSamples must be positive")
	check(c.Settle >= 0, "Settle must not be negative")
	check(c.Headroom > 0 && c.Headroom < 1, "Headroom must lie in (0, 1)")
	check(c.Deepest > 0 && c.Deepest < 1, "Deepest must lie in (0, 1)")
	check(c.Again > 0, "Again must be positive")
	check(c.Futile > 0, "Futile must be positive")
	return err
}
