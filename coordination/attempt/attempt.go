// Package attempt decides how a router continues a request after the response
// of an attempt was interrupted: it queries the sidecar for the attempt's fate,
// resumes the response, dispatches the request again, or ends it.
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

// Config holds the retry limits of one request.
type Config struct {
	// MaxRepeats bounds how often an idempotent request is dispatched again
	// after an attempt that may have run; other requests never are. Default 2.
	MaxRepeats int
	// MaxNotRun bounds how often a request is dispatched again after an
	// attempt that provably did not run. Default 8.
	MaxNotRun int
	// MaxResumes bounds the consecutive resumes that yield no new byte.
	// Default 4.
	MaxResumes int
	// SettleFor bounds the time for which the fate of an attempt is queried
	// from its sidecar. Default 3s.
	SettleFor time.Duration
	// SettleEvery is the delay between two queries. Default 100ms.
	SettleEvery time.Duration
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		MaxRepeats:  2,
		MaxNotRun:   8,
		MaxResumes:  4,
		SettleFor:   3 * time.Second,
		SettleEvery: 100 * time.Millisecond,
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
	check(c.MaxRepeats >= 0, "MaxRepeats must not be negative")
	check(c.MaxNotRun >= 0, "MaxNotRun must not be negative")
	check(c.MaxResumes > 0, "MaxResumes must be positive")
	check(c.SettleFor > 0, "SettleFor must be positive")
	check(c.SettleEvery > 0, "SettleEvery must be positive")
	return err
}

// Request holds the properties of a request that the decisions depend on.
type Request struct {
	Idempotent bool
	// Deadline is the time from which no attempt is started; zero for none.
	Deadline time.Time
}

// State is the state of one request. It must not be used concurrently.
//
// Invariants, from DESIGN section 5: a non-idempotent request is dispatched
// again only if every earlier attempt provably did not run; a request is never
// dispatched again once a byte of its response was delivered; a request never
// ends as not-run if one of its attempts may have run.
type State struct {
	cfg         Config
	req         Request
	delivered   bool
	offset      int64
	mayHaveRun  bool
	repeatCount int
	notRunCount int
	resumeCount int
	lostAt      time.Time
}

// New returns the state of a request before its first dispatch. The config
// must be valid.
func New(cfg Config, req Request) *State { return &State{cfg: cfg, req: req} }

// MayHaveRun reports whether an attempt of the request may have run, in which
// case the request must not end as not-run.
func (s *State) MayHaveRun() bool { return s.mayHaveRun }

// Step applies one event at the time now and returns the action to perform.
func (s *State) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Lost:
		return s.handleLost(now, ev)
	case Settled:
		return s.handleSettled(now, ev)
	case NoAnswer:
		if now.Sub(s.lostAt) < s.cfg.SettleFor && !s.pastDeadline(now) {
			return Settle{After: s.cfg.SettleEvery}
		}
		return s.afterMayHaveRun(now, LinkLost)
	case BackendNotRun:
		return s.afterNotRun(now, BackendServer)
	case BackendUnknown:
		s.delivered = s.delivered || ev.Delivered
		return s.afterMayHaveRun(now, BackendServer)
	}
	return Finish{Kind: Unknown, Cause: LinkLost}
}

func (s *State) pastDeadline(now time.Time) bool {
	return !s.req.Deadline.IsZero() && !now.Before(s.req.Deadline)
}

func (s *State) handleLost(now time.Time, ev Lost) Action {
	s.delivered = s.delivered || ev.Delivered
	if ev.Offset > s.offset {
		s.offset = ev.Offset
		s.resumeCount = 0
	}
	if !ev.Sent {
		return s.afterNotRun(now, LinkLost)
	}
	s.lostAt = now
	return Settle{}
}

func (s *State) handleSettled(now time.Time, ev Settled) Action {
	switch ev.Fate {
	case NotRun:
		return s.afterNotRun(now, LinkLost)
	case Running:
		return s.resume(now)
	case Ended:
		if ev.AnswerKept {
			return s.resume(now)
		}
		return s.afterMayHaveRun(now, AnswerLost)
	default:
		return s.afterMayHaveRun(now, LinkLost)
	}
}

func (s *State) resume(now time.Time) Action {
	s.resumeCount++
	if s.resumeCount > s.cfg.MaxResumes {
		return s.afterMayHaveRun(now, LinkLost)
	}
	return Resume{}
}

// afterNotRun decides how to continue after an attempt that is reported not to
// have run. The report is disregarded if part of a response was delivered.
func (s *State) afterNotRun(now time.Time, cause Cause) Action {
	if s.delivered {
		return s.afterMayHaveRun(now, cause)
	}
	s.notRunCount++
	if s.notRunCount > s.cfg.MaxNotRun || s.pastDeadline(now) {
		if s.mayHaveRun {
			return Finish{Kind: Unknown, Cause: cause}
		}
		return Finish{Kind: WasNotRun, Cause: cause}
	}
	s.resumeCount = 0
	return Redispatch{}
}

// afterMayHaveRun decides how to continue after an attempt that may have run.
func (s *State) afterMayHaveRun(now time.Time, cause Cause) Action {
	s.mayHaveRun = true
	if s.delivered || !s.req.Idempotent || s.repeatCount >= s.cfg.MaxRepeats || s.pastDeadline(now) {
		return Finish{Kind: Unknown, Cause: cause}
	}
	s.repeatCount++
	s.resumeCount = 0
	return Redispatch{}
}
