package bodybudget

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the constants of a State.
type Config struct {
	// Small is the size, in bytes, up to which a body counts as small. Default 64 KiB.
	Small int64
	// SmallShare is the share of the budget that only small bodies may take. Default 0.1.
	SmallShare float64
	// TeamShare is the greatest share of the budget that the bodies of one team may take. Default 1.
	TeamShare float64
	// StallTime is the time without a byte after which an unfinished body may be ended for others.
	// Default 2s.
	StallTime time.Duration
	// MinRate is the rate, in bytes a second, below which an unfinished body may be ended for others once it is
	// as old as StallTime. Default 16 KiB/s: a body of 4 MiB would take longer than any route allows.
	MinRate float64
	// MinWait and MaxWait bound the time after which a refused caller is asked to come back. Defaults 1s
	// and 8s.
	MinWait, MaxWait time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Small: 64 << 10, SmallShare: 0.1, TeamShare: 1, StallTime: 2 * time.Second, MinRate: 16 << 10,
		MinWait: time.Second, MaxWait: 8 * time.Second,
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
	check(c.Small > 0, "Small must be positive")
	check(c.SmallShare >= 0 && c.SmallShare < 1, "SmallShare must be at least 0 and below 1")
	check(c.TeamShare > 0 && c.TeamShare <= 1, "TeamShare must be above 0 and at most 1")
	check(c.StallTime > 0, "StallTime must be positive")
	check(c.MinRate >= 0, "MinRate must not be negative")
	check(c.MinWait > 0 && c.MaxWait >= c.MinWait, "MinWait must be positive, MaxWait at least as much")
	return err
}
