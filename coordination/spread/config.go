// Package spread decides how a process obtains the newest configuration and
// instance list: by watching the platform for changes, by reading the platform,
// or by fetching from a peer that has announced a newer revision.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the actions to perform. It has no I/O, clock or goroutines. The
// driver is transport/spread.
//
// Routers with sidecars and sidecars use it.
package spread

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of the distribution.
type Config struct {
	// Self is the id of this process.
	Self string
	// DataCentre of this process.
	DataCentre string
	// Watches is true if this process may watch the platform; routers may.
	Watches bool
	// Watchers is the number of routers per data centre that watch the
	// platform for changes. Default 2.
	Watchers int
	// ReadBudget is the maximum rate of the periodic reads of all processes
	// together, in reads per second. Default 100.
	ReadBudget float64
	// MinReadEvery is the minimum interval of the periodic reads of a process.
	// Default 2s.
	MinReadEvery time.Duration
	// FetchJitter is the maximum random delay before a fetch from a peer, so
	// that the processes that learn of a revision don't all fetch it at the
	// same time. Default 30ms.
	FetchJitter time.Duration
	// FetchTimeout is the time after which an unanswered fetch is abandoned.
	// Default 1s.
	FetchTimeout time.Duration
	// StaleAfter is the time since the revision was last confirmed as the
	// newest after which the process reports it as stale. Default 10s.
	StaleAfter time.Duration
	// StartJitter is the maximum random delay before the first read of the
	// platform; an answer from a peer meanwhile can make the read unnecessary.
	// Default 200ms.
	StartJitter time.Duration
	// StartPeers is the number of peers from which a starting process must
	// have received a revision before it serves without the platform. Default
	// 2.
	StartPeers int
	// StartWait is the time after the first platform failure from which fewer
	// peers suffice. Default 2s.
	StartWait time.Duration
	// BackoffMin and BackoffMax limit the delay after a failed platform call.
	// Defaults 200ms and 2s.
	BackoffMin, BackoffMax time.Duration
	// Seed of the random delays.
	Seed uint64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Watchers:     2,
		ReadBudget:   100,
		MinReadEvery: 2 * time.Second,
		FetchJitter:  30 * time.Millisecond,
		FetchTimeout: time.Second,
		StaleAfter:   10 * time.Second,
		StartJitter:  200 * time.Millisecond,
		StartPeers:   2,
		StartWait:    2 * time.Second,
		BackoffMin:   200 * time.Millisecond,
		BackoffMax:   2 * time.Second,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	positive := func(name string, v float64) {
		if v <= 0 {
			err = errors.CombineErrors(err, errors.Newf("%s must be positive", name))
		}
	}
	positive("Watchers", float64(c.Watchers))
	positive("ReadBudget", c.ReadBudget)
	positive("MinReadEvery", float64(c.MinReadEvery))
	positive("FetchTimeout", float64(c.FetchTimeout))
	positive("StaleAfter", float64(c.StaleAfter))
	positive("BackoffMin", float64(c.BackoffMin))
	if c.BackoffMax < c.BackoffMin {
		err = errors.CombineErrors(err, errors.New("BackoffMax must be at least BackoffMin"))
	}
	if c.FetchJitter < 0 {
		err = errors.CombineErrors(err, errors.New("FetchJitter must not be negative"))
	}
	return err
}
