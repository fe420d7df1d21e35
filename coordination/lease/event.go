package lease

import "time"

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Ticked reports the current time. The interval between ticks must be much
// shorter than Config.Pause.
type Ticked struct{}

// Acquired reports that the slot was acquired with a lease.
type Acquired struct {
	// Sent is when the request for the lease was sent.
	Sent time.Time
}

// Renewed reports that the lease was renewed.
type Renewed struct {
	// Sent is when the renewal was sent.
	Sent time.Time
}

// Lapsed reports that the platform no longer has the lease.
type Lapsed struct{}

// Conflict reports that another process holds the slot.
type Conflict struct{}

// NoAnswer reports that the platform did not respond to a call.
type NoAnswer struct{}

func (Ticked) isEvent()   {}
func (Acquired) isEvent() {}
func (Renewed) isEvent()  {}
func (Lapsed) isEvent()   {}
func (Conflict) isEvent() {}
func (NoAnswer) isEvent() {}

// Action is an output of State.Step that the driver performs. The driver reports
// the result of each action as one event other than Ticked.
type Action interface{ isAction() }

// Renew renews the lease.
type Renew struct {
	// Verify requests a read that confirms that this process still holds the
	// slot.
	Verify bool
}

// Acquire acquires the slot if no process holds it.
type Acquire struct {
	// Fresh requests a new incarnation, because the state of this process is
	// stale.
	Fresh bool
}

func (Renew) isAction()   {}
func (Acquire) isAction() {}
