package limit

import (
	"time"

	"goldcrestport/coordination/health"
)

// fewestTeams is the number of teams whose requests must fail before error
// answers count against the server: one team's bad requests are not its fault.
const fewestTeams = 2

// Result is how a run ended at the backend server.
type Result int

// Results of a run.
const (
	// NoResult says nothing about the server, such as a cancelled run.
	NoResult Result = iota
	// Answered is an answer without a server error.
	Answered
	// ErrorAnswer is an answer that tells a server error.
	ErrorAnswer
	// NoAnswer is a call that was refused, broke off or was cut short.
	NoAnswer
)

// Health decides whether the backend server gets work at all. While it fails,
// one run at a time probes it, so that it does not draw work by failing fast.
// It must be used by one goroutine at a time.
type Health struct {
	tracker *health.Tracker
	// teams whose requests failed since the last answer.
	teams map[string]bool
	// silent tells that a call got no answer since then.
	silent bool
	// probe is the run that probes, if one does.
	probe uint64
}

// NewHealth returns the health of a server that is well. The config must be
// valid.
func NewHealth(cfg health.Config) *Health {
	return &Health{tracker: health.New(cfg), teams: map[string]bool{}}
}

// Ejected reports whether the server gets nothing but probes.
func (h *Health) Ejected() bool { return h.tracker.Ejected() }

// Slots returns how many of limit requests may run at the time now.
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

// Started takes the start of a run; one that starts when a probe is due is
// the probe.
func (h *Health) Started(now time.Time, run uint64) {
	if h.tracker.ProbeDue(now) {
		h.tracker.ProbeSent()
		h.probe = run
	}
}

// Ended takes the end of a run.
func (h *Health) Ended(now time.Time, run uint64, team string, r Result) {
	if h.tracker.Ejected() {
		if h.tracker.Probing() && run == h.probe {
			h.tracker.ProbeEnded(now, verdict(r))
		}
		return
	}
	h.remember(team, r)
	h.tracker.Record(verdict(r))
	if h.tracker.Suspect() && (h.silent || len(h.teams) >= fewestTeams) {
		h.tracker.Eject(now)
		clear(h.teams)
		h.silent = false
	}
}

// remember keeps whose requests failed since the last answer.
func (h *Health) remember(team string, r Result) {
	switch r {
	case Answered:
		clear(h.teams)
		h.silent = false
	case ErrorAnswer:
		h.teams[team] = true
	case NoAnswer:
		h.teams[team] = true
		h.silent = true
	}
}

func verdict(r Result) health.Result {
	switch r {
	case Answered:
		return health.Success
	case ErrorAnswer, NoAnswer:
		return health.Failure
	default:
		return health.NoResult
	}
}
