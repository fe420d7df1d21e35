// Package confirms proves the promises about configurations with processes:
// operators race at several routers while the platform loses answers and goes
// down, and routers are killed. What the operators were told has to be one
// linear history, and the kept history has to be the same.
package confirms

import "time"

// Options of a run.
type Options struct {
	// Bin is the folder with goldcrestd and standin, Out the one for logs.
	Bin, Out string
	Routers  int
	// Operators race until Accepted plans were accepted in all.
	Operators int
	Accepted  int
	// LoseAnswers is the fraction of the platform's answers that are lost.
	LoseAnswers float64
	// Bound ends the run.
	Bound time.Duration
	Seed  uint64
}

// Report is what a run found.
type Report struct {
	Accepted int `json:"accepted"`
	Stale    int `json:"stale"`
	Unknown  int `json:"unknown"`
	// Repeated counts confirmations sent again because the one before left
	// the fate of the plan open.
	Repeated int `json:"repeated"`
	Outages  int `json:"outages"`
	Kills    int `json:"kills"`
	// Revisions in the kept history.
	Revisions  uint64   `json:"revisions"`
	Seconds    float64  `json:"seconds"`
	Violations []string `json:"violations"`
}
