// Package dispatch decides, at one router, where each request goes: it is
// offered to a sidecar with room, or it waits in its team's queue until a
// sidecar pulls it, or it is refused.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the actions to perform. It has no I/O, clock or goroutines. The
// driver is transport/router.
package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of a router's queues.
type Config struct {
	// MaxQueued is the default bound of one team's waiting requests, in
	// requests. Default 512.
	MaxQueued int
	// MaxQueuedBytes is the default bound of one team's waiting bodies, in
	// bytes. Default 64 MiB.
	MaxQueuedBytes int64
	// TotalQueued bounds all waiting requests, in requests. Default 8192.
	TotalQueued int
	// TotalQueuedBytes bounds all waiting bodies, in bytes. Default 128 MiB.
	TotalQueuedBytes int64
	// RefreshEvery is the time between full repeats of the registered
	// interest. Default 2s.
	RefreshEvery time.Duration
	// Seed of the random choices.
	Seed uint64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		MaxQueued:        512,
		MaxQueuedBytes:   64 << 20,
		TotalQueued:      8192,
		TotalQueuedBytes: 128 << 20,
		RefreshEvery:     2 * time.Second,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	if c.MaxQueued <= 0 {
		err = errors.CombineErrors(err, errors.New("MaxQueued must be positive"))
	}
	if c.MaxQueuedBytes <= 0 {
		err = errors.CombineErrors(err, errors.New("MaxQueuedBytes must be positive"))
	}
	if c.TotalQueued < c.MaxQueued {
		err = errors.CombineErrors(err, errors.New("TotalQueued must be at least MaxQueued"))
	}
	if c.TotalQueuedBytes < c.MaxQueuedBytes {
		err = errors.CombineErrors(err, errors.New("TotalQueuedBytes must be at least MaxQueuedBytes"))
	}
	if c.RefreshEvery <= 0 {
		err = errors.CombineErrors(err, errors.New("RefreshEvery must be positive"))
	}
	return err
}
