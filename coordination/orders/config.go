// Package orders decides which orders a sidecar gives to its engine, so that
// the engine comes to hold the models, adapters and role of the configuration.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the actions to perform. It has no I/O, clock or goroutines. The
// driver is transport/sidecar.
//
// Sidecars use it.
package orders

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the times of the reconciliation.
type Config struct {
	// ObserveEvery is the time between looks at an engine that has what is
	// wanted. Default 30s.
	ObserveEvery time.Duration
	// Retry is the pause after anything that did not work; it is spread over
	// half to one and a half of it. Default 1s.
	Retry time.Duration
	// WaitOut is how long an order without an answer may still take effect;
	// nothing else is ordered before then, unless its effect shows. Default 5m.
	WaitOut time.Duration
	// IdleWait is how long a paused backend server may take to become idle
	// before a change of role goes ahead. Default 2m.
	IdleWait time.Duration
	// Seed of the random pauses.
	Seed uint64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		ObserveEvery: 30 * time.Second,
		Retry:        time.Second,
		WaitOut:      5 * time.Minute,
		IdleWait:     2 * time.Minute,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	for name, d := range map[string]time.Duration{
		"ObserveEvery": c.ObserveEvery, "Retry": c.Retry, "WaitOut": c.WaitOut, "IdleWait": c.IdleWait,
	} {
		if d <= 0 {
			err = errors.CombineErrors(err, errors.Newf("%s must be positive", name))
		}
	}
	return err
}
