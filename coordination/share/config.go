// Package share decides, at one sidecar, which team is served next on the
// slots of its backend server, so that the teams' service is in proportion to
// their shares.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the actions to perform. It has no I/O, clock or goroutines. The
// driver is transport/sidecar.
package share

import "github.com/cockroachdb/errors"

// Config holds the parameters of the choice.
type Config struct {
	// Slots is the number of requests that run at once. Default 8.
	Slots int
	// LookAhead is the number of requests pulled ahead of a free slot.
	// Default 1.
	LookAhead int
	// DefaultShare of a team that the configuration does not name.
	// Default 1.
	DefaultShare float64
	// Seed of the random choices.
	Seed uint64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Slots: 8, LookAhead: 1, DefaultShare: 1}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	if c.Slots <= 0 {
		err = errors.CombineErrors(err, errors.New("Slots must be positive"))
	}
	if c.LookAhead < 0 {
		err = errors.CombineErrors(err, errors.New("LookAhead must not be negative"))
	}
	if c.DefaultShare <= 0 {
		err = errors.CombineErrors(err, errors.New("DefaultShare must be positive"))
	}
	return err
}
