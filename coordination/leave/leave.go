// Package leave decides the phases of a graceful shutdown of one process.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the phase. It has no I/O, clock or goroutines. The drivers are
// transport/router and transport/sidecar.
//
// All three use it: direct routers, routers with sidecars, and sidecars.
package leave

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the times of a graceful shutdown.
type Config struct {
	// Linger is the time in which the process says that it is not ready and
	// still takes new work, so that who sends it stops first. Default 0s.
	Linger time.Duration
	// Refuse is the least time in which new work is refused before the
	// process stops, so that work on its way meets a refusal and not a closed
	// port. Default 1s.
	Refuse time.Duration
	// Bound is the time after which what still runs is ended with a typed
	// outcome. Default 30s.
	Bound time.Duration
	// Ending is the time in which those outcomes may go out. Default 1s.
	Ending time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Refuse: time.Second, Bound: 30 * time.Second, Ending: time.Second}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, msg string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(msg))
		}
	}
	check(c.Linger >= 0, "Linger must not be negative")
	check(c.Refuse >= 0, "Refuse must not be negative")
	check(c.Bound >= c.Linger, "Bound must be at least Linger")
	check(c.Ending > 0, "Ending must be positive")
	return err
}

// Phase is how far a process has left.
type Phase int

// Phases, in their order. A phase is never gone back to.
const (
	// Serving takes new work.
	Serving Phase = iota
	// Lingering takes new work and says that the process is not ready.
	Lingering
	// Refusing refuses new work and finishes what is held.
	Refusing
	// Ending ends what is still held with typed outcomes.
	Ending
	// Stopped has nothing left to do.
	Stopped
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Asked is the first request to stop.
type Asked struct{}

// AskedAgain is a second request to stop: no more waiting.
type AskedAgain struct{}

// Ticked lets time pass. Held is the number of requests that are not ended.
type Ticked struct{ Held int }

func (Asked) isEvent()      {}
func (AskedAgain) isEvent() {}
func (Ticked) isEvent()     {}

// State is the state of one process. It must be used by one goroutine at a
// time.
//
// Invariant: before the bound or a second request to stop, the process stops
// only when nothing is held ("every planned stop is graceful: it cuts off no
// request in progress").
type State struct {
	cfg   Config
	phase Phase
	asked time.Time
	ended time.Time
}

// New returns the state of a process that serves. The config must be valid.
func New(cfg Config) *State { return &State{cfg: cfg} }

// Step applies one event at the time now and returns the phase.
func (s *State) Step(now time.Time, ev Event) Phase {
	switch ev := ev.(type) {
	case Asked:
		if s.phase == Serving {
			s.phase = Lingering
			s.asked = now
		}
		s.tick(now, 1)
	case AskedAgain:
		if s.phase < Ending {
			s.phase = Ending
			s.ended = now
		}
	case Ticked:
		s.tick(now, ev.Held)
	}
	return s.phase
}

func (s *State) tick(now time.Time, held int) {
	since := now.Sub(s.asked)
	if s.phase == Lingering && since >= s.cfg.Linger {
		s.phase = Refusing
	}
	if s.phase == Refusing && held == 0 && since >= s.cfg.Linger+s.cfg.Refuse {
		s.phase = Stopped
	}
	if (s.phase == Lingering || s.phase == Refusing) && since >= s.cfg.Bound {
		s.phase = Ending
		s.ended = now
	}
	if s.phase == Ending && (held == 0 || now.Sub(s.ended) >= s.cfg.Ending) {
		s.phase = Stopped
	}
}
