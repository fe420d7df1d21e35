// Package inflight decides how long an attempt at a backend server is left alone: until its
// answer, or until it must be revoked, so that no byte of it arrives later.
//
// The pattern that it answers: the path to a server holds what was sent. Whoever gives the
// attempt up has decided nothing about those bytes, which arrive when the path is whole again,
// at a server that may have left meanwhile. So an attempt has an owner until its last byte
// cannot arrive any more. Two things speak for an attempt: its bytes are acknowledged one
// after the other, and its server is heard. Silence alone speaks against none: an engine may
// think for seconds before its first token.
//
// An Attempt is pure. Direct routers use it, through transport/backend.
package inflight

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the bounds of attempts.
type Config struct {
	// Stall is the time without progress after which an attempt with bytes on their way is
	// revoked. Default 1s: a packet is sent three times by then.
	Stall time.Duration
	// LeavingStall is the same at a server that is known to leave. Default 250ms: one
	// packet lost and sent again.
	LeavingStall time.Duration
	// Silence is the time from when a server is known to leave in which it must be heard,
	// or attempts there are revoked. Default 1s: half of the users' shortest
	// bound on requests that reach a server after its leaving.
	Silence time.Duration
	// Dead is the same for answers that have begun: a server's silence alone is no reason to
	// end one, and the store drops the entry of a server that is dead. Default 5s.
	Dead time.Duration
	// Way bounds the time that an answer takes on its way. What is heard so soon after an
	// attempt was sent does not speak for it. Default 100ms.
	Way time.Duration
	// Gap is the longest time between two looks that counts: a router that did not run has
	// seen no want of progress. Default 300ms.
	Gap time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Stall: time.Second, LeavingStall: 250 * time.Millisecond, Silence: time.Second, Dead: 5 * time.Second, Way: 100 * time.Millisecond, Gap: 300 * time.Millisecond}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
		}
	}
	check(c.Stall > 0, "Stall must be positive")
	check(c.LeavingStall > 0 && c.LeavingStall <= c.Stall, "LeavingStall must lie in (0, Stall]")
	check(c.Silence > 0, "Silence must be positive")
	check(c.Dead >= c.Silence, "Dead must be at least Silence")
	check(c.Way >= 0, "Way must not be negative")
	check(c.Gap > 0 && c.Gap < c.Stall, "Gap must lie in (0, Stall)")
	return err
}

// Verdict is what becomes of an attempt.
type Verdict int

// Verdicts.
const (
	// Keep: it goes on.
	Keep Verdict = iota
	// Stalled: revoke it, what was sent makes no progress.
	Stalled
	// ServerLeft: revoke it, its server leaves and is silent.
	ServerLeft
)

// Look is what is seen of an attempt at a moment.
type Look struct {
	// Pending is the number of bytes that the other end has not acknowledged, those that
	// are not written yet with them.
	Pending int
	// Answered tells that the answer has begun.
	Answered bool
	// Heard is when the server was heard last, on any connection; zero: never.
	Heard time.Time
	// Left is since when the server is known to leave or to be gone; zero: it is not.
	Left time.Time
}

// Attempt is one attempt whose first byte was written. It must be used by one goroutine at a
// time.
type Attempt struct {
	cfg   *Config
	began time.Time
	// looked is the time of the last look, pending what was on its way then.
	looked  time.Time
	pending int
	// still is the time for which nothing more was acknowledged.
	still time.Duration
}

// Begin returns an attempt of so many bytes whose first one is written now. The config must
// be valid, and is the caller's to keep as it is.
func Begin(cfg *Config, now time.Time, size int) Attempt {
	return Attempt{cfg: cfg, began: now, looked: now, pending: size}
}

// Look takes what is seen of the attempt and returns what becomes of it.
func (a *Attempt) Look(now time.Time, l Look) Verdict {
	a.progress(now, l.Pending)
	switch {
	case l.Pending > 0 && a.still >= a.patience(l):
		return Stalled
	case l.Pending > 0:
		return Keep
	case l.Answered && silence(now, l.Left, l.Heard) >= a.cfg.Dead:
		return ServerLeft
	case !l.Answered && a.isForsaken(now, l):
		return ServerLeft
	default:
		return Keep
	}
}

// progress counts the time without any.
func (a *Attempt) progress(now time.Time, pending int) {
	if pending < a.pending || pending == 0 {
		a.still = 0
	} else {
		a.still += min(now.Sub(a.looked), a.cfg.Gap)
	}
	a.looked, a.pending = now, pending
}

// patience is how long bytes may make no progress.
func (a *Attempt) patience(l Look) time.Duration {
	if l.Left.IsZero() {
		return a.cfg.Stall
	}
	return a.cfg.LeavingStall
}

// isForsaken reports whether the server leaves and nothing speaks for the attempt: nothing
// was heard of the server since it was sent.
func (a *Attempt) isForsaken(now time.Time, l Look) bool {
	if l.Heard.After(a.began.Add(a.cfg.Way)) {
		return false
	}
	return silence(now, l.Left, a.began) >= a.cfg.Silence
}

// silence is the time since a server is known to leave and since the other moment, whichever
// is shorter; 0 for one that is not known to leave.
func silence(now, left, other time.Time) time.Duration {
	if left.IsZero() {
		return 0
	}
	return min(now.Sub(left), now.Sub(other))
}
