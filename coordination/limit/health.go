package limit

import (
	"time"

	"goldcrestport/coordination/health"
)

// minFailingTeams is the number of teams whose requests must fail before error
// responses can eject the server: the invalid requests of a single team are no
// sign of a faulty server.
const minFailingTeams = 2

// Result is the outcome of a run at the backend server.
type Result int

const (
	// NoResult is an outcome that says nothing about the server's health, such
	// as a cancelled run.
	NoResult Result = iota
	// Answered is a response without a server error.
	Answered
	// ErrorAnswer is a response that reports a server error.
	ErrorAnswer
	// NoAnswer is a call that was refused, or whose response was interrupted or
	// truncated.
	NoAnswer
)

// Health decides whether the backend server receives requests at all. While the
// server is ejected, one run at a time probes it, so that it does not attract
// requests by failing fast. Health must not be used concurrently.
type Health struct {
	tracker *health.Tracker
	// failingTeams holds the teams whose requests failed since the last successful
	// response.
	failingTeams map[string]bool
	// noAnswer reports whether a call got no response since then.
	noAnswer bool
	// probeRun is the run that is the current probe request, if there is one.
	probeRun uint64
}

// NewHealth returns the state of a healthy server. The config must be valid.
func NewHealth(cfg health.Config) *Health {
	return &Health{tracker: health.New(cfg), failingTeams: map[string]bool{}}
}

// Ejected reports whether the server receives only probe requests.
func (h *Health) Ejected() bool { return h.tracker.Ejected() }

// Slots returns how many requests may run at the time now, at most limit.
func (h *Health) Slots(now time.Time, limit int) int {
	switch {
	case !h.tracker.Ejected():
		return limit
	case h.tracker.Probing(), h.tracker.ProbeDue(now):
		return 1
	default:
		return 0
	}
}

// Started records the start of a run. A run that starts while a probe is due
// becomes the probe.
func (h *Health) Started(now time.Time, run uint64) {
	if h.tracker.ProbeDue(now) {
		h.tracker.ProbeSent()
		h.probeRun = run
	}
}

// Ended records the outcome of a run. While the server is ejected, only the
// probe counts.
func (h *Health) Ended(now time.Time, run uint64, team string, r Result) {
	if h.tracker.Ejected() {
		if h.tracker.Probing() && run == h.probeRun {
			h.tracker.ProbeEnded(now, healthResult(r))
		}
		return
	}
	h.trackFailures(team, r)
	h.tracker.Record(healthResult(r))
	if h.tracker.Suspect() && (h.noAnswer || len(h.failingTeams) >= minFailingTeams) {
		h.tracker.Eject(now)
		clear(h.failingTeams)
		h.noAnswer = false
	}
}

// trackFailures records which teams' requests failed since the last successful
// response.
func (h *Health) trackFailures(team string, r Result) {
	switch r {
	case Answered:
		clear(h.failingTeams)
		h.noAnswer = false
	case ErrorAnswer:
		h.failingTeams[team] = true
	case NoAnswer:
		h.failingTeams[team] = true
		h.noAnswer = true
	}
}

func healthResult(r Result) health.Result {
	switch r {
	case Answered:
		return health.Success
	case ErrorAnswer, NoAnswer:
		return health.Failure
	default:
		return health.NoResult
	}
}
