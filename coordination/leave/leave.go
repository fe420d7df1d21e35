// Package leave decides the phases of a graceful shutdown of one process.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the phase. It has no I/O, clock or goroutines. The drivers are
// transport/direct, transport/router and transport/sidecar.
//
// Direct routers, routers with sidecars and sidecars use it.
package leave

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the timing parameters of a graceful shutdown.
type Config struct {
	// Linger is the time during which the process reports that it is not ready
	// and still accepts new requests, so that clients and load balancers stop
	// sending before it refuses. Default 0s.
	Linger time.Duration
	// Refuse is the minimum time during which new requests are refused before
	// the process stops, so that requests in transit get a refusal instead of a
	// closed port. Default 1s.
	Refuse time.Duration
	// Bound is the time after which the requests in flight are ended with a
	// typed outcome. Default 30s.
	Bound time.Duration
	// Ending bounds the time for sending those outcomes. Default 1s.
	Ending time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{Refuse: time.Second, Bound: 30 * time.Second, Ending: time.Second}
}

// Validate returns an error that names each field that is out of range.
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

// Phase is a phase of the shutdown.
type Phase int

// The phases in the order in which a process enters them; it never returns to an
// earlier one.
const (
	// Serving accepts new requests.
	Serving Phase = iota
	// Lingering accepts new requests and reports that the process is not ready.
	Lingering
	// Refusing refuses new requests and completes those in flight.
	Refusing
	// Ending ends the requests still in flight with typed outcomes.
	Ending
	// Stopped means that the process may exit.
	Stopped
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// StopRequested is the first request to shut down.
type StopRequested struct{}

// StopRequestedAgain is a second request to shut down, which ends the requests
// in flight at once.
type StopRequestedAgain struct{}

// Ticked reports the current time. InFlight is the number of requests in
// flight.
type Ticked struct{ InFlight int }

func (StopRequested) isEvent()      {}
func (StopRequestedAgain) isEvent() {}
func (Ticked) isEvent()             {}

// State is the shutdown state of one process. It must not be used concurrently.
//
// Invariant: before Config.Bound or a second request to shut down, the process
// stops only when no request is in flight ("every planned stop is graceful: it
// cuts off no request in progress").
type State struct {
	cfg         Config
	phase       Phase
	requestedAt time.Time
	endingSince time.Time
}

// New returns the state of a serving process. The config must be valid.
func New(cfg Config) *State { return &State{cfg: cfg} }

// Step applies one event at the time now and returns the phase.
func (s *State) Step(now time.Time, ev Event) Phase {
	switch ev := ev.(type) {
	case StopRequested:
		if s.phase == Serving {
			s.phase = Lingering
			s.requestedAt = now
		}
		s.advance(now, 1)
	case StopRequestedAgain:
		if s.phase < Ending {
			s.phase = Ending
			s.endingSince = now
		}
	case Ticked:
		s.advance(now, ev.InFlight)
	}
	return s.phase
}

func (s *State) advance(now time.Time, inFlight int) {
	elapsed := now.Sub(s.requestedAt)
	if s.phase == Lingering && elapsed >= s.cfg.Linger {
		s.phase = Refusing
	}
	if s.phase == Refusing && inFlight == 0 && elapsed >= s.cfg.Linger+s.cfg.Refuse {
		s.phase = Stopped
	}
	if (s.phase == Lingering || s.phase == Refusing) && elapsed >= s.cfg.Bound {
		s.phase = Ending
		s.endingSince = now
	}
	if s.phase == Ending && (inFlight == 0 || now.Sub(s.endingSince) >= s.cfg.Ending) {
		s.phase = Stopped
	}
}
