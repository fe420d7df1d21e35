// Package backoff decides when a backend server that turned a request away, and said
// for how long it wants none, gets requests again.
//
// The pattern that it answers: servers under pressure turn everything away for some
// seconds and look idle meanwhile, so that routers which send where least waits ask
// just them, again and again. A server gets nothing in the time that it asked for. Then
// one request of each router tries it; the others follow when it was taken.
//
// A Server is pure: it takes what it said and the time, and must be used by one
// goroutine at a time. Direct routers use it.
package backoff

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the times of a Server.
type Config struct {
	// Longest is the longest time that a server is believed to want no requests. One
	// that means more says so again to the one request that tries it. Default 1m.
	Longest time.Duration
	// TrialTime is for how long a request that tries the server holds back others
	// while nothing is heard of it. Default 500ms: a long prompt's first token.
	TrialTime time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Longest: time.Minute, TrialTime: 500 * time.Millisecond}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	if c.Longest <= 0 {
		err = errors.CombineErrors(err, errors.New("Longest must be positive"))
	}
	if c.TrialTime <= 0 {
		err = errors.CombineErrors(err, errors.New("TrialTime must be positive"))
	}
	return err
}

// Server is what one incarnation of a server asked this router for. The zero value is
// one that never asked.
type Server struct {
	// until is the end of the time without requests; zero: it never asked, or took a
	// request since.
	until time.Time
	// since is when it asked first, and asked when last; times counts both and
	// those between.
	since, asked time.Time
	times        int
	// trialUntil is until when a request that tries it holds back others.
	trialUntil time.Time
}

// Asked notes that the server turned a request away and wants none for the time.
// Requests that were on their way may ask again, for less: the latest end counts. It
// reports whether the server began to ask.
func (s *Server) Asked(now time.Time, after time.Duration, cfg Config) (began bool) {
	began = !s.Asking()
	if began {
		s.since, s.times = now, 0
	}
	s.asked, s.trialUntil = now, time.Time{}
	s.times++
	if end := now.Add(min(after, cfg.Longest)); end.After(s.until) {
		s.until = end
	}
	return began
}

// Wait returns for how long the server gets nothing from this router; 0: it may get a
// request now.
func (s *Server) Wait(now time.Time) time.Duration {
	switch {
	case s.until.IsZero():
		return 0
	case now.Before(s.until):
		return s.until.Sub(now)
	case now.Before(s.trialUntil):
		return s.trialUntil.Sub(now)
	default:
		return 0
	}
}

// Accepts reports whether the time in which the server wants no requests is over.
// Unlike Wait it holds for the request that tries the server, too.
func (s *Server) Accepts(now time.Time) bool { return !now.Before(s.until) }

// Asking reports whether the server asked and has taken no request since.
func (s *Server) Asking() bool { return !s.until.IsZero() }

// Send notes that a request goes to the server. It reports whether that one tries it
// after a time without requests.
func (s *Server) Send(now time.Time, cfg Config) (trial bool) {
	if !s.Asking() {
		return false
	}
	s.trialUntil = now.Add(cfg.TrialTime)
	return true
}

// Taken notes that the server took the request that tried it, so that all may follow,
// and reports whether they may: another request may have been turned away since.
func (s *Server) Taken(now time.Time) (ended bool) {
	if !s.Asking() || !s.Accepts(now) {
		return false
	}
	s.until, s.trialUntil = time.Time{}, time.Time{}
	return true
}

// Ended notes that the request that tried the server ended without a word of it:
// another one may try.
func (s *Server) Ended() { s.trialUntil = time.Time{} }

// Age returns how long ago the server asked last, or -1ms if it never did or took a
// request since.
func (s *Server) Age(now time.Time) time.Duration {
	if !s.Asking() {
		return -time.Millisecond
	}
	return now.Sub(s.asked)
}

// Series tells for how long the server has been asking, and how often it did.
func (s *Server) Series(now time.Time) (lasted time.Duration, times int) {
	return now.Sub(s.since), s.times
}
