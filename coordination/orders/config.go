// Package orders decides which orders (load, unload and role commands) a
// sidecar sends to its engine, so that the engine converges to the models,
// adapters and role of the configuration.
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

// Config holds the intervals and timeouts of the reconciliation.
type Config struct {
	// ObserveEvery is the time between two observations of an engine that
	// matches the configuration. Default 30s.
	ObserveEvery time.Duration
	// Retry is the mean delay after a failure; the actual delay is random
	// between 0.5 and 1.5 times Retry. Default 1s.
	Retry time.Duration
	// WaitOut is how long an unanswered order may still take effect; no other
	// order is sent before then, unless its effect is observed. Default 5m.
	WaitOut time.Duration
	// IdleWait is the maximum time that a change of role waits for a paused
	// backend server to become idle. Default 2m.
	IdleWait time.Duration
	// Seed of the random delays.
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
