// Package attempt decides, at a router, how one request goes on when the
// answer of an attempt breaks off: it asks the sidecar what became of the
// attempt, resumes the answer, dispatches the request again, or ends it.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the action to perform. It has no I/O, clock or goroutines. The
// driver is transport/router.
//
// Routers with sidecars use it.
package attempt

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of the decisions about one request.
type Config struct {
	// MaxRepeats bounds how often a request is dispatched again after an
	// attempt that may have run. Only idempotent requests are. Default 2.
	MaxRepeats int
	// MaxNotRun bounds how often a request is dispatched again after an
	// attempt that was lost but proven not to have run. Default 8.
	MaxNotRun int
	// MaxResumes bounds the resumes in a row that bring no byte. Default 4.
	MaxResumes int
	// SettleFor bounds the time in which a sidecar is asked for the fate of an
	// attempt. Default 3s.
	SettleFor time.Duration
	// SettleEvery is the pause between two questions. Default 100ms.
	SettleEvery time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		MaxRepeats:  2,
		MaxNotRun:   8,
		MaxResumes:  4,
		SettleFor:   3 * time.Second,
		SettleEvery: 100 * time.Millisecond,
	}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, msg string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(msg))
		}
	}
	check(c.MaxRepeats >= 0, "MaxRepeats must not be negative")
	check(c.MaxNotRun >= 0, "MaxNotRun must not be negative")
	check(c.MaxResumes > 0, "MaxResumes must be positive")
	check(c.SettleFor > 0, "SettleFor must be positive")
	check(c.SettleEvery > 0, "SettleEvery must be positive")
	return err
}

// Request is what the decision needs to know of the request.
type Request struct {
	Idempotent bool
	// Deadline after which nothing is started any more; zero for none.
	Deadline time.Time
}

// State is the state of one request. It must be used by one goroutine at a
// time.
//
// Invariants, from DESIGN section 5: a request that is not idempotent is
// dispatched again only when every earlier attempt is proven not to have run;
// a request of which a byte was delivered is never dispatched again; a request
// of which an attempt may have run never ends as not-run.
type State struct {
	cfg        Config
	req        Request
	delivered  bool
	offset     int64
	mayHaveRun bool
	repeats    int
	notRun     int
	resumes    int
	asked      time.Time
}

// New returns the state of a request that was not dispatched yet. The config
// must be valid.
func New(cfg Config, req Request) *State { return &State{cfg: cfg, req: req} }

// MayHaveRun reports whether an attempt of the request may have run, so that
// the request must not end as not-run.
func (s *State) MayHaveRun() bool { return s.mayHaveRun }

// Step applies one event at the time now and returns the action to perform.
func (s *State) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Lost:
		return s.lost(now, ev)
	case Settled:
		return s.settled(now, ev)
	case NoAnswer:
		if now.Sub(s.asked) < s.cfg.SettleFor && !s.late(now) {
			return Settle{After: s.cfg.SettleEvery}
		}
		return s.unproven(now, LinkLost)
	case BackendNotRun:
		return s.proven(now, BackendServer)
	case BackendUnknown:
		s.delivered = s.delivered || ev.Delivered
		return s.unproven(now, BackendServer)
	}
	return Finish{Kind: Unknown, Cause: LinkLost}
}

func (s *State) late(now time.Time) bool {
	return !s.req.Deadline.IsZero() && !now.Before(s.req.Deadline)
}

func (s *State) lost(now time.Time, ev Lost) Action {
	s.delivered = s.delivered || ev.Delivered
	if ev.Offset > s.offset {
		s.offset = ev.Offset
		s.resumes = 0
	}
	if !ev.Sent {
		return s.proven(now, LinkLost)
	}
	s.asked = now
	return Settle{}
}

func (s *State) settled(now time.Time, ev Settled) Action {
	switch ev.Fate {
	case NotRun:
		return s.proven(now, LinkLost)
	case Running:
		return s.resume(now)
	case Ended:
		if ev.AnswerKept {
			return s.resume(now)
		}
		return s.unproven(now, AnswerLost)
	default:
		return s.unproven(now, LinkLost)
	}
}

func (s *State) resume(now time.Time) Action {
	s.resumes++
	if s.resumes > s.cfg.MaxResumes {
		return s.unproven(now, LinkLost)
	}
	return Resume{}
}

// proven goes on after an attempt that did not run. That is not believed when
// a part of an answer was delivered.
func (s *State) proven(now time.Time, cause Cause) Action {
	if s.delivered {
		return s.unproven(now, cause)
	}
	s.notRun++
	if s.notRun > s.cfg.MaxNotRun || s.late(now) {
		if s.mayHaveRun {
			return Finish{Kind: Unknown, Cause: cause}
		}
		return Finish{Kind: WasNotRun, Cause: cause}
	}
	s.resumes = 0
	return Redispatch{}
}

// unproven goes on after an attempt that may have run.
func (s *State) unproven(now time.Time, cause Cause) Action {
	s.mayHaveRun = true
	if s.delivered || !s.req.Idempotent || s.repeats >= s.cfg.MaxRepeats || s.late(now) {
		return Finish{Kind: Unknown, Cause: cause}
	}
	s.repeats++
	s.resumes = 0
	return Redispatch{}
}
