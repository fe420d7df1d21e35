package attempt

import "time"

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Lost is the stream of an attempt that broke off before its end.
type Lost struct {
	// Sent is false if the start of the attempt was certainly not sent.
	Sent bool
	// Delivered tells whether a part of the answer went to the caller.
	Delivered bool
	// Offset is the number of answer bytes that went to the caller.
	Offset int64
}

// Settled is the sidecar's answer about the attempt.
type Settled struct {
	Fate Fate
	// AnswerKept tells whether the answer of an ended attempt can be resumed.
	AnswerKept bool
}

// NoAnswer is a question about the attempt that was not answered.
type NoAnswer struct{}

// BackendNotRun is an attempt that ended before anything was written to the
// backend server.
type BackendNotRun struct{}

// BackendUnknown is an attempt whose call to the backend server broke off
// before an answer came.
type BackendUnknown struct {
	// Delivered tells whether a part of the answer went to the caller.
	Delivered bool
}

func (Lost) isEvent()           {}
func (Settled) isEvent()        {}
func (NoAnswer) isEvent()       {}
func (BackendNotRun) isEvent()  {}
func (BackendUnknown) isEvent() {}

// Fate is what a sidecar says of an attempt.
type Fate int

const (
	// Gone means that nothing can be known: another incarnation serves, or
	// the sidecar has forgotten.
	Gone Fate = iota
	// NotRun means that the attempt was not run and will not be run.
	NotRun
	// Running means that the attempt runs.
	Running
	// Ended means that the attempt ran and ended.
	Ended
)

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Settle asks the incarnation that the attempt was sent to for its fate.
type Settle struct {
	// After is the pause before the question.
	After time.Duration
}

// Resume attaches to the attempt again from the delivered offset.
type Resume struct{}

// Redispatch queues the request for another attempt.
type Redispatch struct{}

// Finish ends the request.
type Finish struct {
	Kind  Kind
	Cause Cause
}

// Kind is how a request ends that got no whole answer.
type Kind int

const (
	// Unknown means that the request may have run.
	Unknown Kind = iota
	// WasNotRun means that every attempt is proven not to have run.
	WasNotRun
)

// Cause says why.
type Cause int

const (
	// LinkLost is a lost link to the sidecar.
	LinkLost Cause = iota
	// AnswerLost is a run that ended and whose answer is not kept any more.
	AnswerLost
	// BackendServer is a backend server that gave no answer.
	BackendServer
)

func (Settle) isAction()     {}
func (Resume) isAction()     {}
func (Redispatch) isAction() {}
func (Finish) isAction()     {}
