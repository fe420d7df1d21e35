// Package health implements outlier detection for one backend server: a server
// that fails too often is ejected and receives only probe requests until enough
// of them succeed.
//
// A Tracker does no I/O and reads no clock: the caller passes results and times
// to it.
//
// Direct routers, routers with sidecars (coordination/dispatch) and sidecars
// (transport/sidecar) use it.
package health

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of a Tracker.
type Config struct {
	// Consecutive is the number of consecutive failed requests that makes a
	// server suspect. Default 5.
	Consecutive int
	// Rate is the fraction of failed requests that makes a server suspect, from
	// 0 to 1. Default 0.5.
	Rate float64
	// Window is the number of requests that the failure rate covers, roughly:
	// the counts decay exponentially. Default 20.
	Window int
	// FirstPause is the delay from an ejection to the first probe request. The
	// delay doubles with each failed probe. Default 1s.
	FirstPause time.Duration
	// LongestPause bounds the delay between probe requests. Default 10s.
	LongestPause time.Duration
	// Successes is the number of consecutive successful probe requests after
	// which a server is readmitted. Default 3.
	Successes int
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Consecutive:  5,
		Rate:         0.5,
		Window:       20,
		FirstPause:   time.Second,
		LongestPause: 10 * time.Second,
		Successes:    3,
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
	check(c.Consecutive > 0, "Consecutive must be positive")
	check(c.Rate > 0 && c.Rate <= 1, "Rate must lie in (0, 1]")
	check(c.Window > 1, "Window must be above 1")
	check(c.FirstPause > 0, "FirstPause must be positive")
	check(c.LongestPause >= c.FirstPause, "LongestPause must be at least FirstPause")
	check(c.Successes > 0, "Successes must be positive")
	return err
}

// Result is the outcome of a request at the server.
type Result int

const (
	// NoResult is an outcome that says nothing about the server's health, such
	// as a cancelled request.
	NoResult Result = iota
	// Success is a response without a server error.
	Success
	// Failure is an error caused by the server.
	Failure
	// Unreachable means that no connection to the server could be opened. A
	// single such result makes the server suspect.
	Unreachable
)

// Tracker tracks the health of one server. It must not be used concurrently.
type Tracker struct {
	cfg                 Config
	consecutiveFailures int
	// failures and results are exponentially decayed counts over about Window
	// results.
	failures float64
	results  float64

	ejected        bool
	probing        bool
	probeDelay     time.Duration
	nextProbe      time.Time
	probeSuccesses int
}

// New returns a tracker of a healthy server. The config must be valid.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Record counts the result of a request that is not a probe. Results that
// arrive while the server is ejected are ignored: they belong to requests that
// were sent before the ejection.
func (t *Tracker) Record(r Result) {
	if r == NoResult || t.ejected {
		return
	}
	decay := 1 - 1/float64(t.cfg.Window)
	t.results = t.results*decay + 1
	t.failures *= decay
	if r == Success {
		t.consecutiveFailures = 0
		return
	}
	t.consecutiveFailures++
	t.failures++
	if r == Unreachable {
		t.consecutiveFailures = max(t.consecutiveFailures, t.cfg.Consecutive)
	}
}

// Rate returns the fraction of failures among the latest results, and whether
// there are enough results for it to be significant.
func (t *Tracker) Rate() (float64, bool) {
	if t.results == 0 {
		return 0, false
	}
	return t.failures / t.results, t.results >= float64(t.cfg.Window)/2
}

// Suspect reports whether the server fails often enough to be ejected.
func (t *Tracker) Suspect() bool {
	if t.ejected {
		return false
	}
	rate, enough := t.Rate()
	return t.consecutiveFailures >= t.cfg.Consecutive || (enough && rate >= t.cfg.Rate)
}

// Eject ejects the server. The first probe request is due after FirstPause.
func (t *Tracker) Eject(now time.Time) {
	t.ejected, t.probing, t.probeSuccesses = true, false, 0
	t.probeDelay = t.cfg.FirstPause
	t.nextProbe = now.Add(t.probeDelay)
}

// Ejected reports whether the server is ejected.
func (t *Tracker) Ejected() bool { return t.ejected }

// Probing reports whether a probe request is in flight.
func (t *Tracker) Probing() bool { return t.probing }

// ProbeDue reports whether a probe request may be sent. At most one is in flight
// at a time.
func (t *Tracker) ProbeDue(now time.Time) bool {
	return t.ejected && !t.probing && !now.Before(t.nextProbe)
}

// ProbeOverdue reports whether a probe request has been due for at least the
// length of the delay before it.
func (t *Tracker) ProbeOverdue(now time.Time) bool {
	return t.ProbeDue(now) && !now.Before(t.nextProbe.Add(t.probeDelay))
}

// ProbeSent records that a probe request was sent.
func (t *Tracker) ProbeSent() { t.probing = true }

// ProbeEnded records the result of the probe request. After Config.Successes
// consecutive successes the server is readmitted; a failure doubles the delay
// before the next probe.
func (t *Tracker) ProbeEnded(now time.Time, r Result) {
	if !t.probing {
		return
	}
	t.probing = false
	switch r {
	case Success:
		t.probeSuccesses++
		if t.probeSuccesses >= t.cfg.Successes {
			*t = Tracker{cfg: t.cfg}
		}
	case Failure, Unreachable:
		t.probeSuccesses = 0
		t.probeDelay = min(2*t.probeDelay, t.cfg.LongestPause)
		t.nextProbe = now.Add(t.probeDelay)
	}
}
