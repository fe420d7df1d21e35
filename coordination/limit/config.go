// Package limit adapts the number of requests that a sidecar runs concurrently
// on its backend server. It uses the time to the first token, the time between
// tokens and whether the server answers at all.
//
// The types do no I/O and read no clock: the driver, transport/sidecar, passes
// measurements and times to them.
//
// Sidecars use it.
package limit

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of a Limiter.
type Config struct {
	// Min is the lower bound of the limit, in requests. Default 1.
	Min int
	// Max is the upper bound of the limit and its initial value, in requests.
	// Default 8.
	Max int
	// FirstTokenTarget is the target for the 95th percentile of the time to the
	// first token. Default 970ms.
	FirstTokenTarget time.Duration
	// TokenGapTarget is the target for the 95th percentile of the time between
	// tokens. Default 50ms.
	TokenGapTarget time.Duration
	// MinSamples is the number of samples that a percentile needs to be used.
	// Default 20.
	MinSamples int
	// SettleWindows is the number of windows after a change of the limit in which
	// it is not changed again, because measurements and reports lag. It must
	// cover the lag of the engine's report. Default 3.
	SettleWindows int
	// Headroom is the fraction of the targets below which the limit may rise.
	// Default 0.9.
	Headroom float64
	// MinDecreaseFactor bounds one decrease: the limit is multiplied by at least
	// this factor. Default 0.7.
	MinDecreaseFactor float64
	// RetryWindows is the number of windows after which a limit that exceeded a
	// target may be tried again. Default 30.
	RetryWindows int
	// MaxFutileDecreases is the number of consecutive decreases without effect
	// after which they are reverted. Default 2.
	MaxFutileDecreases int
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Min:                1,
		Max:                8,
		FirstTokenTarget:   970 * time.Millisecond,
		TokenGapTarget:     50 * time.Millisecond,
		MinSamples:         20,
		SettleWindows:      3,
		Headroom:           0.9,
		MinDecreaseFactor:  0.7,
		RetryWindows:       30,
		MaxFutileDecreases: 2,
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
	check(c.Min > 0, "Min must be positive")
	check(c.Max >= c.Min, "Max must be at least Min")
	check(c.FirstTokenTarget > 0, "FirstTokenTarget must be positive")
	check(c.TokenGapTarget > 0, "TokenGapTarget must be positive")
	check(c.MinSamples > 0, "MinSamples must be positive")
	check(c.SettleWindows >= 0, "SettleWindows must not be negative")
	check(c.Headroom > 0 && c.Headroom < 1, "Headroom must lie in (0, 1)")
	check(c.MinDecreaseFactor > 0 && c.MinDecreaseFactor < 1, "MinDecreaseFactor must lie in (0, 1)")
	check(c.RetryWindows > 0, "RetryWindows must be positive")
	check(c.MaxFutileDecreases > 0, "MaxFutileDecreases must be positive")
	return err
}
