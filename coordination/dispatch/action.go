package dispatch

import "time"

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
	// Count bounds the pulls that the sidecar may have open at once for the
	// team here. It is rounded up to a power of two; 0 withdraws.
	Count  int
	Oldest time.Duration
	// Spread is the number of sidecars at which the work is registered.
	Spread int
}

// Empty answers a pull for which nothing waits. It ends the registration at
// that sidecar.
type Empty struct {
	Sidecar string
	Pull    uint64
}

// RefuseReason says why a request is given up.
type RefuseReason int

// Reasons of a Refuse.
const (
	// QueueFull means that a bound of waiting work is reached.
	QueueFull RefuseReason = iota + 1
	// DeadlinePassed means that the deadline passed while the request waited.
	DeadlinePassed
	// NoSidecar means that no sidecar of the service is known.
	NoSidecar
	// WaitTooLong means that the estimated wait passes the deadline.
	WaitTooLong
	// RetryDenied means that the retry budget is used up.
	RetryDenied
)

// String returns the reason's name in metrics.
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

// Refuse ends a request of which no attempt is under way. It was not run,
// unless the driver knows of an earlier attempt that may have run.
type Refuse struct {
	ID         string
	Reason     RefuseReason
	RetryAfter time.Duration
}

func (Send) isAction()     {}
func (Register) isAction() {}
func (Empty) isAction()    {}
func (Refuse) isAction()   {}
