// Package backoff decides when a backend server that rejected a request and requested a
// back-off receives requests again.
//
// Overloaded servers reject all requests for some seconds and look idle meanwhile, so
// that routers that send to the least loaded server would keep choosing them. A server
// therefore receives nothing for the back-off that it requested. After it, each router
// sends one probe request, and the others follow once the server has accepted it.
//
// A Server does no I/O and reads no clock, and must not be used concurrently. Direct
// routers use it.
package backoff

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the timing parameters of a Server.
type Config struct {
	// Longest bounds the back-off that a server can request. A server that needs a
	// longer one can reject the probe request and so request another. Default 1m.
	Longest time.Duration
	// ProbeTime is the time for which a probe request without a result keeps other
	// requests from being sent. Default 500ms: the time to the first token of a long
	// prompt.
	ProbeTime time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{Longest: time.Minute, ProbeTime: 500 * time.Millisecond}
}

// Validate returns an error that names each field that is out of range.
func (c Config) Validate() error {
	var err error
	if c.Longest <= 0 {
		err = errors.CombineErrors(err, errors.New("Longest must be positive"))
	}
	if c.ProbeTime <= 0 {
		err = errors.CombineErrors(err, errors.New("ProbeTime must be positive"))
	}
	return err
}

// Server is the back-off state of one incarnation of a server at this router. The zero
// value is a server that never requested a back-off.
type Server struct {
	// end is the end of the back-off, zero if none was requested since the server
	// last accepted a request.
	end time.Time
	// firstRequest and lastRequest are the times of the first and the latest back-off
	// request of the present series; requestCount is the length of the series.
	firstRequest, lastRequest time.Time
	requestCount              int
	// probeUntil is the time until which the probe request keeps others from being
	// sent.
	probeUntil time.Time
}

// BackoffRequested records that the server rejected a request and requested a back-off
// of the given length. Requests that were in flight may be rejected later with a
// shorter back-off, so the latest end counts. It reports whether this starts a new
// series of back-offs.
func (s *Server) BackoffRequested(now time.Time, delay time.Duration, cfg Config) (started bool) {
	started = !s.InBackoff()
	if started {
		s.firstRequest, s.requestCount = now, 0
	}
	s.lastRequest, s.probeUntil = now, time.Time{}
	s.requestCount++
	if end := now.Add(min(delay, cfg.Longest)); end.After(s.end) {
		s.end = end
	}
	return started
}

// Wait returns the time until this router may send the server a request, 0 if it may
// send one now.
func (s *Server) Wait(now time.Time) time.Duration {
	switch {
	case s.end.IsZero():
		return 0
	case now.Before(s.end):
		return s.end.Sub(now)
	case now.Before(s.probeUntil):
		return s.probeUntil.Sub(now)
	default:
		return 0
	}
}

// Accepts reports whether the back-off that the server requested is over. Unlike Wait,
// it disregards a probe request that is in flight.
func (s *Server) Accepts(now time.Time) bool { return !now.Before(s.end) }

// InBackoff reports whether the server requested a back-off and has accepted no request
// since.
func (s *Server) InBackoff() bool { return !s.end.IsZero() }

// Send records that a request is sent to the server. It reports whether that request is
// the probe after a back-off.
func (s *Server) Send(now time.Time, cfg Config) (probe bool) {
	if !s.InBackoff() {
		return false
	}
	s.probeUntil = now.Add(cfg.ProbeTime)
	return true
}

// ProbeAccepted records that the server accepted the probe request, and reports whether
// this ends the back-off. It doesn't if another request was rejected since.
func (s *Server) ProbeAccepted(now time.Time) (ended bool) {
	if !s.InBackoff() || !s.Accepts(now) {
		return false
	}
	s.end, s.probeUntil = time.Time{}, time.Time{}
	return true
}

// Ended records that the probe request ended without a response from the server, so that
// another probe may be sent.
func (s *Server) Ended() { s.probeUntil = time.Time{} }

// Age returns the time since the latest back-off request, or -1ms if the server
// requested none since it last accepted a request.
func (s *Server) Age(now time.Time) time.Duration {
	if !s.InBackoff() {
		return -time.Millisecond
	}
	return now.Sub(s.lastRequest)
}

// Series returns the time since the first back-off request of the series and the number
// of requests in it.
func (s *Server) Series(now time.Time) (duration time.Duration, count int) {
	return now.Sub(s.firstRequest), s.requestCount
}
