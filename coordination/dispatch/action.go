package dispatch

import "time"

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Send starts an attempt of a request at a sidecar. Pull is the pull that it
// answers, 0 for an offer.
type Send struct {
	ID      string
	Sidecar string
	Pull    uint64
}

// Register sends a sidecar the amount of work that a team has queued at this
// router.
type Register struct {
	Sidecar string
	Team    string
	// Count is the maximum number of pulls that the sidecar may have open at
	// this router for the team. It is the queue length rounded up to a power
	// of two; 0 withdraws the registration.
	Count int
	// Oldest is how long the oldest request has waited.
	Oldest time.Duration
	// Spread is the number of sidecars with which the work is registered.
	Spread int
}

// Empty answers a pull for which no request is queued. It ends the team's
// registration with that sidecar.
type Empty struct {
	Sidecar string
	Pull    uint64
}

// RefuseReason is the reason for which a request is refused.
type RefuseReason int

// Reasons of a Refuse.
const (
	// QueueFull means that a limit of the queued requests or bytes is reached.
	QueueFull RefuseReason = iota + 1
	// DeadlinePassed means that the deadline passed before the request was
	// sent.
	DeadlinePassed
	// NoSidecar means that no sidecar has served the service for longer than
	// the grace period.
	NoSidecar
	// WaitTooLong means that the estimated queueing time exceeds the deadline.
	WaitTooLong
	// RetryDenied means that the retry budget is exhausted.
	RetryDenied
)

// String returns the name of the reason as used in metrics.
func (r RefuseReason) String() string {
	switch r {
	case QueueFull:
		return "queue-full"
	case DeadlinePassed:
		return "deadline-passed"
	case NoSidecar:
		return "no-sidecar"
	case WaitTooLong:
		return "wait-too-long"
	case RetryDenied:
		return "retry-denied"
	default:
		return "none"
	}
}

// Refuse ends a request that has no attempt in flight. The request was not run,
// unless an earlier attempt, which the driver keeps track of, may have run.
type Refuse struct {
	ID     string
	Reason RefuseReason
	// RetryAfter is the delay after which the caller should try again.
	RetryAfter time.Duration
}

func (Send) isAction()     {}
func (Register) isAction() {}
func (Empty) isAction()    {}
func (Refuse) isAction()   {}
