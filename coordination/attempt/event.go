package attempt

import "time"

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Lost reports that the stream of an attempt was interrupted before its end.
type Lost struct {
	// Sent is false only if the start of the attempt was certainly not sent.
	Sent bool
	// Delivered reports whether part of the response was sent to the caller.
	Delivered bool
	// Offset is the number of response bytes that were sent to the caller.
	Offset int64
}

// Settled reports the fate of the attempt, as the sidecar returned it.
type Settled struct {
	Fate Fate
	// AnswerKept reports whether the response of an ended attempt can be
	// resumed.
	AnswerKept bool
}

// NoAnswer reports that a query for the fate of the attempt got no reply.
type NoAnswer struct{}

// BackendNotRun reports that the attempt ended before anything was written to
// the backend server.
type BackendNotRun struct{}

// BackendUnknown reports that the call to the backend server was interrupted
// before a complete response arrived.
type BackendUnknown struct {
	// Delivered reports whether part of the response was sent to the caller.
	Delivered bool
}

func (Lost) isEvent()           {}
func (Settled) isEvent()        {}
func (NoAnswer) isEvent()       {}
func (BackendNotRun) isEvent()  {}
func (BackendUnknown) isEvent() {}

// Fate is the state of an attempt, as its sidecar reports it.
type Fate int

const (
	// Gone means that the fate can't be determined: another incarnation of the
	// sidecar is running, or the sidecar has discarded its record.
	Gone Fate = iota
	// NotRun means that the attempt did not run and will not run.
	NotRun
	// Running means that the attempt is in progress.
	Running
	// Ended means that the attempt ran and has ended.
	Ended
)

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Settle queries the fate of the attempt from the incarnation of the sidecar
// that the attempt was sent to.
type Settle struct {
	// After is the delay before the query.
	After time.Duration
}

// Resume reattaches to the attempt, from the offset that was delivered.
type Resume struct{}

// Redispatch queues the request for another attempt.
type Redispatch struct{}

// Finish ends the request.
type Finish struct {
	Kind  Kind
	Cause Cause
}

// Kind is the outcome of a request that got no complete response.
type Kind int

const (
	// Unknown means that the request may have run.
	Unknown Kind = iota
	// WasNotRun means that provably none of the attempts ran.
	WasNotRun
)

// Cause is the reason why a request got no complete response.
type Cause int

const (
	// LinkLost is a lost connection to the sidecar.
	LinkLost Cause = iota
	// AnswerLost is an attempt that ended and whose response is no longer kept.
	AnswerLost
	// BackendServer is a backend server that returned no complete response.
	BackendServer
)

func (Settle) isAction()     {}
func (Resume) isAction()     {}
func (Redispatch) isAction() {}
func (Finish) isAction()     {}
