// Package inflight decides how long an attempt at a backend server may go on: until its
// answer, or until it must be revoked, so that no byte of it arrives later.
//
// The network path to a server may buffer what was sent. A router that merely abandons an
// attempt does not recall those bytes: they arrive when the path recovers, at a server that
// may have shut down meanwhile. So an attempt is watched until its last byte cannot arrive any
// more. Two things show that an attempt is alive: its bytes are acknowledged one after the
// other, and messages arrive from its server. Silence alone is no reason to revoke it: an
// engine may compute for seconds before its first token.
//
// An Attempt does no I/O and reads no clock. Direct routers use it, through transport/backend.
package inflight

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the time limits of attempts.
type Config struct {
	// Stall is the time without progress after which an attempt with unacknowledged bytes is
	// revoked. Default 1s: a packet is sent three times by then.
	Stall time.Duration
	// DrainingStall replaces Stall at a server that is known to be shutting down. Default
	// 250ms: one packet lost and sent again.
	DrainingStall time.Duration
	// Silence is the time after a server is known to be shutting down in which a message must
	// arrive from it, or unanswered attempts there are revoked. Default 1s: half of the users'
	// shortest bound on requests that reach a server after its shutdown.
	Silence time.Duration
	// Dead is the same for answers that have started: the silence of a running server is no
	// reason to end one, and the store drops the entry of a server that is dead. Default 5s.
	Dead time.Duration
	// TransitTime bounds the network delay of an answer. A message that arrives within this
	// time after an attempt was sent does not show that the attempt is alive. Default 100ms.
	TransitTime time.Duration
	// MaxGap is the longest time between two observations that counts as time without
	// progress: a router that was not scheduled in between could not see any. Default 300ms.
	MaxGap time.Duration
	// Trickles is the number of observations that find further bytes since the last whole header or
	// byte of a body, from which an answer counts as endless. Default 10: at ten observations a second,
	// a second of bytes in small pieces, where servers send a header in one or two.
	Trickles int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Stall: time.Second, DrainingStall: 250 * time.Millisecond, Silence: time.Second, Dead: 5 * time.Second, TransitTime: 100 * time.Millisecond, MaxGap: 300 * time.Millisecond, Trickles: 10}
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
	check(c.DrainingStall > 0 && c.DrainingStall <= c.Stall, "DrainingStall must be in (0, Stall]")
	check(c.Silence > 0, "Silence must be positive")
	check(c.Dead >= c.Silence, "Dead must be at least Silence")
	check(c.TransitTime >= 0, "TransitTime must not be negative")
	check(c.Trickles > 1, "Trickles must be above 1")
	check(c.MaxGap > 0 && c.MaxGap < c.Stall, "MaxGap must be in (0, Stall)")
	return err
}

// Verdict is the decision on an attempt.
type Verdict int

const (
	// Keep: the attempt goes on.
	Keep Verdict = iota
	// Stalled: revoke the attempt, as its bytes make no progress.
	Stalled
	// ServerGone: revoke the attempt, as its server is shutting down or gone and sends
	// nothing.
	ServerGone
	// Endless: revoke the attempt, as its server goes on to send bytes that are no answer.
	Endless
)

// Look is an observation of an attempt at one time.
type Look struct {
	// Pending is the number of bytes that the peer has not acknowledged, including those not
	// written yet.
	Pending int
	// Answered is set if the answer has started.
	Answered bool
	// Arrived is the number of bytes received so far on the connection, and Parsed that number when a header
	// last arrived whole or bytes of a body were last read.
	Arrived, Parsed int64
	// Heard is when the last message arrived from the server, on any connection; zero: never.
	Heard time.Time
	// DrainingSince is when the router was informed that the server is shutting down or gone;
	// zero: it is not.
	DrainingSince time.Time
}

// Attempt is one attempt whose first byte was written. It must be used by one goroutine at a
// time.
type Attempt struct {
	cfg       *Config
	startedAt time.Time
	// lastObserved is the time of the last observation, pending the unacknowledged bytes then.
	lastObserved time.Time
	pending      int
	// stalled is the time without a further acknowledgement.
	stalled time.Duration
	// arrived and parsed are the bytes at the last observation, and trickles the number of
	// observations since parsed last changed that found further bytes.
	arrived, parsed int64
	trickles        int
}

// Begin returns an attempt of size bytes whose first one is written now. The config must be
// valid, and the caller must not change it.
func Begin(cfg *Config, now time.Time, size int) Attempt {
	return Attempt{cfg: cfg, startedAt: now, lastObserved: now, pending: size}
}

// Look takes an observation of the attempt and returns the decision.
func (a *Attempt) Look(now time.Time, l Look) Verdict {
	a.progress(now, l.Pending)
	a.trickle(l)
	switch {
	case a.trickles >= a.cfg.Trickles:
		return Endless
	case l.Pending > 0 && a.stalled >= a.stallLimit(l):
		return Stalled
	case l.Pending > 0:
		return Keep
	case l.Answered && silence(now, l.DrainingSince, l.Heard) >= a.cfg.Dead:
		return ServerGone
	case !l.Answered && a.isAbandoned(now, l):
		return ServerGone
	default:
		return Keep
	}
}

// progress accumulates the time without progress.
func (a *Attempt) progress(now time.Time, pending int) {
	if pending < a.pending || pending == 0 {
		a.stalled = 0
	} else {
		a.stalled += min(now.Sub(a.lastObserved), a.cfg.MaxGap)
	}
	a.lastObserved, a.pending = now, pending
}

// trickle counts the observations that found further bytes which are no whole header and no body. A pause adds
// nothing: neither
// lost packets nor a router that is not scheduled make an answer endless.
func (a *Attempt) trickle(l Look) {
	switch {
	case l.Parsed != a.parsed:
		a.trickles = 0
	case l.Arrived > max(a.arrived, l.Parsed):
		a.trickles++
	}
	a.arrived, a.parsed = l.Arrived, l.Parsed
}

// stallLimit is how long unacknowledged bytes may make no progress.
func (a *Attempt) stallLimit(l Look) time.Duration {
	if l.DrainingSince.IsZero() {
		return a.cfg.Stall
	}
	return a.cfg.DrainingStall
}

// isAbandoned reports whether the server is shutting down and no message has arrived from it
// since the attempt was sent.
func (a *Attempt) isAbandoned(now time.Time, l Look) bool {
	if l.Heard.After(a.startedAt.Add(a.cfg.TransitTime)) {
		return false
	}
	return silence(now, l.DrainingSince, a.startedAt) >= a.cfg.Silence
}

// silence returns the time since a server is known to be shutting down or since the other
// time, whichever is shorter; 0 if it is not shutting down.
func silence(now, drainingSince, other time.Time) time.Duration {
	if drainingSince.IsZero() {
		return 0
	}
	return min(now.Sub(drainingSince), now.Sub(other))
}
