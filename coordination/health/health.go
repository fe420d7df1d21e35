// Package health decides whether one backend server is an outlier: whether it
// fails so often that it gets no work but probes.
//
// A Tracker is pure: it takes results and the time, and holds no clock. The
// routers use it (coordination/dispatch) and the sidecars (transport/sidecar).
//
// All three use it: direct routers, routers with sidecars, and sidecars.
package health

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the thresholds of a Tracker.
type Config struct {
	// Consecutive failures that make a server suspect, in requests.
	// Default 5.
	Consecutive int
	// Rate of failures that makes a server suspect, from 0 to 1. Default 0.5.
	Rate float64
	// Window is the number of results that the rate covers, in requests.
	// Default 20.
	Window int
	// FirstPause is the time from an ejection to the first probe. It doubles
	// with each failed probe. Default 1s.
	FirstPause time.Duration
	// LongestPause bounds the time between probes. Default 10s.
	LongestPause time.Duration
	// Successes is the number of probes in a row that re-admit a server.
	// Default 3.
	Successes int
}

// DefaultConfig returns the documented defaults.
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

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, what string) {
		if !ok {
			err = errors.CombineErrors(err, errors.New(what))
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

// Result is how a request ended at the server.
type Result int

// Results of a request.
const (
	// NoResult says nothing about the server, such as a cancelled request.
	NoResult Result = iota
	// Success is an answer that the server gave.
	Success
	// Failure is an error of the server.
	Failure
	// Unreachable means that no connection to the server could be opened; one
	// such result makes it suspect.
	Unreachable
)

// Tracker follows the results of one server. It must be used by one goroutine
// at a time.
type Tracker struct {
	cfg         Config
	consecutive int
	// failures and results are decayed counts over about Window results.
	failures float64
	results  float64

	ejected   bool
	probing   bool
	pause     time.Duration
	nextProbe time.Time
	successes int
}

// New returns the tracker of a healthy server. The config must be valid.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Record counts the result of a request that was not a probe. Results of
// requests from before an ejection do not count.
func (t *Tracker) Record(r Result) {
	if r == NoResult || t.ejected {
		return
	}
	keep := 1 - 1/float64(t.cfg.Window)
	t.results = t.results*keep + 1
	t.failures *= keep
	if r == Success {
		t.consecutive = 0
		return
	}
	t.consecutive++
	t.failures++
	if r == Unreachable {
		t.consecutive = max(t.consecutive, t.cfg.Consecutive)
	}
}

// Rate returns the fraction of failures among the last results and whether
// there were enough of them to judge.
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
	return t.consecutive >= t.cfg.Consecutive || (enough && rate >= t.cfg.Rate)
}

// Eject takes the server out; the first probe is due after FirstPause.
func (t *Tracker) Eject(now time.Time) {
	t.ejected, t.probing, t.successes = true, false, 0
	t.pause = t.cfg.FirstPause
	t.nextProbe = now.Add(t.pause)
}

// Ejected reports whether the server is out.
func (t *Tracker) Ejected() bool { return t.ejected }

// Probing reports whether a probe is under way.
func (t *Tracker) Probing() bool { return t.probing }

// ProbeDue reports whether a probe may be sent: one at a time.
func (t *Tracker) ProbeDue(now time.Time) bool {
	return t.ejected && !t.probing && !now.Before(t.nextProbe)
}

// ProbeOverdue reports whether a probe was due for as long as the pause before
// it, and none was sent.
func (t *Tracker) ProbeOverdue(now time.Time) bool {
	return t.ProbeDue(now) && !now.Before(t.nextProbe.Add(t.pause))
}

// ProbeSent marks a probe as under way.
func (t *Tracker) ProbeSent() { t.probing = true }

// ProbeEnded takes the probe's result. Enough successes in a row re-admit the
// server; a failure doubles the pause.
func (t *Tracker) ProbeEnded(now time.Time, r Result) {
	if !t.probing {
		return
	}
	t.probing = false
	switch r {
	case Success:
		t.successes++
		if t.successes >= t.cfg.Successes {
			*t = Tracker{cfg: t.cfg}
		}
	case Failure, Unreachable:
		t.successes = 0
		t.pause = min(2*t.pause, t.cfg.LongestPause)
		t.nextProbe = now.Add(t.pause)
	}
}
