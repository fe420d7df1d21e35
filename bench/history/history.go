// Package history holds what was seen at the edges of a fleet during a run:
// calls as callers saw them, runs as backend servers recorded them, failures
// that were made, changes of the configuration and where they were in force.
// Its checks decide offline whether the promises held.
package history

import (
	"sync"
	"time"

	"goldcrestport/protocol/outcome"
)

// Ending is how a call ended on the caller's connection.
type Ending string

const (
	// Answered means that the response came and ended cleanly.
	Answered Ending = "answered"
	// Cut means that the connection broke after the call was sent.
	Cut Ending = "cut"
	// Unsent means that no connection could be made.
	Unsent Ending = "unsent"
	// TimedOut means that the caller gave up after its own bound.
	TimedOut Ending = "timed-out"
)

// Call is one call of a caller. A caller's repeat is another Call.
type Call struct {
	ID            string       `json:"id"`
	Operation     string       `json:"operation"`
	Router        string       `json:"router"`
	Team          string       `json:"team"`
	Service       string       `json:"service"`
	NonIdempotent bool         `json:"non_idempotent,omitempty"`
	Key           string       `json:"key,omitempty"`
	Stream        bool         `json:"stream,omitempty"`
	Sent          time.Time    `json:"sent"`
	Ended         time.Time    `json:"ended"`
	Ending        Ending       `json:"ending"`
	Status        int          `json:"status,omitempty"`
	Outcome       outcome.Kind `json:"outcome,omitempty"`
	Reason        string       `json:"reason,omitempty"`
	RequestID     string       `json:"request_id,omitempty"`
	// Problem tells that the answer is a problem document of the system.
	Problem bool   `json:"problem,omitempty"`
	Bytes   int64  `json:"bytes"`
	SHA256  string `json:"sha256,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Operation is what a caller wants done, by one call or several.
type Operation struct {
	ID            string    `json:"id"`
	Team          string    `json:"team"`
	NonIdempotent bool      `json:"non_idempotent,omitempty"`
	Key           string    `json:"key,omitempty"`
	Started       time.Time `json:"started"`
	Ended         time.Time `json:"ended"`
	// Result is the outcome of its last call; empty when that was cut.
	Result outcome.Kind `json:"result,omitempty"`
	Calls  int          `json:"calls"`
}

// RunState is how a backend server's run ended.
type RunState string

// States of a run.
const (
	RunDone      RunState = "done"
	RunFailed    RunState = "failed"
	RunCancelled RunState = "cancelled"
	// RunOpen means that no end was recorded: the server was killed.
	RunOpen RunState = "running"
)

// Run is one run on a backend server.
type Run struct {
	Server    string    `json:"server"`
	CallID    string    `json:"call_id"`
	RequestID string    `json:"request_id"`
	Key       string    `json:"key,omitempty"`
	Team      string    `json:"team"`
	Started   time.Time `json:"started"`
	State     RunState  `json:"state"`
	Bytes     int64     `json:"bytes"`
	SHA256    string    `json:"sha256"`
}

// Fault is a failure that was made, or a planned stop.
type Fault struct {
	Kind string `json:"kind"`
	// Target is the process or link it was done to.
	Target string    `json:"target"`
	From   time.Time `json:"from"`
	// Until is when the target was back at work.
	Until time.Time `json:"until"`
	// Planned marks a graceful stop or a leave, which must harm no request.
	Planned bool `json:"planned,omitempty"`
}

// Leave is a time in which a backend server was to get no new work.
type Leave struct {
	Server string    `json:"server"`
	How    string    `json:"how"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
}

// ChangeResult is what an operator was told.
type ChangeResult string

const (
	// ChangeAccepted means that the change is the next revision.
	ChangeAccepted ChangeResult = "accepted"
	// ChangeStale means that the change was refused; another came first.
	ChangeStale ChangeResult = "stale"
	// ChangeRefused means that the change was refused for another reason and
	// did not happen.
	ChangeRefused ChangeResult = "refused"
	// ChangeUnknown means that the operator was not told.
	ChangeUnknown ChangeResult = "unknown"
)

// Change is one attempt to change the configuration from a revision to the
// next.
type Change struct {
	Operator string       `json:"operator"`
	Base     uint64       `json:"base"`
	Sent     time.Time    `json:"sent"`
	Ended    time.Time    `json:"ended"`
	Result   ChangeResult `json:"result"`
	// Revision is what an accepted change became.
	Revision uint64 `json:"revision,omitempty"`
}

// InForce tells that a process put a revision in force.
type InForce struct {
	Process  string    `json:"process"`
	Start    int       `json:"start"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// History is all of one run. Its methods are safe for concurrent use; its
// fields may be read once nothing is added any more.
type History struct {
	mu         sync.Mutex
	Calls      []Call
	Operations []Operation
	Runs       []Run
	Faults     []Fault
	Leaves     []Leave
	Changes    []Change
	InForce    []InForce
}

// Add adds one record of any of the kinds above; others are ignored.
func (h *History) Add(record any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch r := record.(type) {
	case Call:
		h.Calls = append(h.Calls, r)
	case Operation:
		h.Operations = append(h.Operations, r)
	case Run:
		h.Runs = append(h.Runs, r)
	case Fault:
		h.Faults = append(h.Faults, r)
	case Leave:
		h.Leaves = append(h.Leaves, r)
	case Change:
		h.Changes = append(h.Changes, r)
	case InForce:
		h.InForce = append(h.InForce, r)
	}
}
