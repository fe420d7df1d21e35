package lease

import "time"

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Ticked lets time pass. It must come much more often than Config.Pause.
type Ticked struct{}

// Acquired is a slot that was taken with a lease.
type Acquired struct {
	// Sent is when the lease was asked for.
	Sent time.Time
}

// Renewed is a lease that was renewed.
type Renewed struct {
	// Sent is when the renewal was asked for.
	Sent time.Time
}

// Lapsed is a lease that the platform does not know any more.
type Lapsed struct{}

// Conflict is a slot that another process holds.
type Conflict struct{}

// NoAnswer is a call that the platform did not answer.
type NoAnswer struct{}

func (Ticked) isEvent()   {}
func (Acquired) isEvent() {}
func (Renewed) isEvent()  {}
func (Lapsed) isEvent()   {}
func (Conflict) isEvent() {}
func (NoAnswer) isEvent() {}

// Action is an output of State.Step that the driver performs. It answers each
// with one event other than Ticked.
type Action interface{ isAction() }

// Renew renews the lease.
type Renew struct {
	// Verify asks to read back that the slot is still this process's own.
	Verify bool
}

// Acquire takes the slot if nobody holds it.
type Acquire struct {
	// Fresh asks for a new incarnation, since what this process knows is old.
	Fresh bool
}

func (Renew) isAction()   {}
func (Acquire) isAction() {}
