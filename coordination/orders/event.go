package orders

// Item is a model or an adapter in one version.
type Item struct {
	Adapter       bool
	Name, Version string
}

// Want is the engine's desired state according to the configuration.
type Want struct {
	// Revision of the configuration; orders carry it as their fencing token.
	Revision uint64
	Items    []Item
	// Role is empty if the configuration doesn't set it.
	Role string
}

// Managed reports whether the configuration sets any desired state. An engine
// without desired state gets no orders.
func (w Want) Managed() bool { return len(w.Items) > 0 || w.Role != "" }

// Have is the actual state that the engine reports.
type Have struct {
	// Fence is the greatest fencing token that the engine has seen.
	Fence uint64
	Items []Item
	Role  string
}

// Verb is the operation of an order.
type Verb string

// Verbs of orders.
const (
	Load    Verb = "load"
	Unload  Verb = "unload"
	SetRole Verb = "role"
)

// Order is one command to the engine.
type Order struct {
	ID    uint64
	Fence uint64
	Verb  Verb
	Item  Item
	Role  string
}

// Permit names an operation that only a limited number of sidecars of the fleet
// may run concurrently.
type Permit string

const (
	// NoPermit is the absence of a permit.
	NoPermit Permit = ""
	// PermitLoad is needed to read from the weight store.
	PermitLoad Permit = "load"
	// PermitWave is needed for orders that reduce a pool's capacity.
	PermitWave Permit = "wave"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// WantChanged reports a configuration that has come into force.
type WantChanged struct{ Want Want }

// Observed is the state reported by the engine in answer to the Observe with the
// same ID.
type Observed struct {
	ID   uint64
	Have Have
}

// ObserveFailed reports that an Observe got no answer.
type ObserveFailed struct{ ID uint64 }

// Granted reports that a permit was acquired.
type Granted struct{ Permit Permit }

// Denied reports that a permit is not available now.
type Denied struct{ Permit Permit }

// PermitLost reports that the lease of the permit has expired.
type PermitLost struct{}

// Validated reports whether this sidecar still owns its slot, and which revision
// is the newest.
type Validated struct {
	OK       bool
	Revision uint64
}

// Running reports the number of requests that the engine is running.
type Running struct{ Count int }

// Answered is the engine's answer to an order. Refused means that it has seen
// a newer fencing token.
type Answered struct {
	ID      uint64
	Refused bool
}

// Unanswered reports that an order got no answer and may or may not take effect.
type Unanswered struct{ ID uint64 }

// Ticked reports that time has passed.
type Ticked struct{}

func (WantChanged) isEvent()   {}
func (Observed) isEvent()      {}
func (ObserveFailed) isEvent() {}
func (Granted) isEvent()       {}
func (Denied) isEvent()        {}
func (PermitLost) isEvent()    {}
func (Validated) isEvent()     {}
func (Running) isEvent()       {}
func (Answered) isEvent()      {}
func (Unanswered) isEvent()    {}
func (Ticked) isEvent()        {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Observe reads the engine's state. ID identifies its answer.
type Observe struct{ ID uint64 }

// Acquire requests a permit.
type Acquire struct{ Permit Permit }

// Release releases the permit.
type Release struct{ Permit Permit }

// Pause stops the admission of new requests, or resumes it.
type Pause struct{ On bool }

// Validate requests a Validated event.
type Validate struct{}

// Send sends the order to the engine.
type Send struct{ Order Order }

func (Observe) isAction()  {}
func (Acquire) isAction()  {}
func (Release) isAction()  {}
func (Pause) isAction()    {}
func (Validate) isAction() {}
func (Send) isAction()     {}
