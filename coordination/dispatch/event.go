package dispatch

import "time"

// Request is what the decision needs to know of a waiting request.
type Request struct {
	ID      string
	Service string
	Team    string
	// Bytes of the body, counted against the queue bounds.
	Bytes int64
	// Estimate of the cost, in cost units.
	Estimate float64
	// Deadline after which the caller has no use of the answer; zero for none.
	Deadline time.Time
	// MaxQueued and MaxQueuedBytes override the defaults if positive.
	MaxQueued      int
	MaxQueuedBytes int64
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Arrived is a new request.
type Arrived struct{ Request Request }

// Withdrawn is a request whose caller is gone.
type Withdrawn struct{ ID string }

// SidecarUp is a control stream that opened.
type SidecarUp struct{ Sidecar, Service string }

// SidecarDown is a control stream that ended.
type SidecarDown struct{ Sidecar string }

// LoadReported is a sidecar's own view of its room.
type LoadReported struct {
	Sidecar string
	Slots   int
	Free    int
	Leaving bool
}

// Pulled is a sidecar that asks for one request of a team.
type Pulled struct {
	Sidecar string
	Pull    uint64
	Team    string
}

// Declined is an attempt that a sidecar did not take and will not run.
type Declined struct {
	ID      string
	Sidecar string
	Free    int
}

// Ended is a request that has its final outcome.
type Ended struct{ ID string }

// Ticked lets time pass.
type Ticked struct{}

func (Arrived) isEvent()      {}
func (Withdrawn) isEvent()    {}
func (SidecarUp) isEvent()    {}
func (SidecarDown) isEvent()  {}
func (LoadReported) isEvent() {}
func (Pulled) isEvent()       {}
func (Declined) isEvent()     {}
func (Ended) isEvent()        {}
func (Ticked) isEvent()       {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Send starts an attempt of a request at a sidecar. Pull is 0 for an offer.
type Send struct {
	ID      string
	Sidecar string
	Pull    uint64
}

// Register tells a sidecar how much work of a team waits here.
type Register struct {
	Sidecar string
	Team    string
	Count   int
	Oldest  time.Duration
	// Spread is the number of sidecars that see the team.
	Spread int
}

// Empty answers a pull for which nothing waits.
type Empty struct {
	Sidecar string
	Pull    uint64
}

// RefuseReason says why a request is given up before it ran.
type RefuseReason int

// Reasons of a Refuse.
const (
	QueueFull RefuseReason = iota + 1
	DeadlinePassed
	NoSidecar
)

// Refuse ends a request that was not run.
type Refuse struct {
	ID         string
	Reason     RefuseReason
	RetryAfter time.Duration
}

func (Send) isAction()     {}
func (Register) isAction() {}
func (Empty) isAction()    {}
func (Refuse) isAction()   {}
