package orders

// Item is a model or an adapter in one version.
type Item struct {
	Adapter       bool
	Name, Version string
}

// Want is what the configuration asks of the engine.
type Want struct {
	// Revision of the configuration; orders carry it as fencing token.
	Revision uint64
	Items    []Item
	// Role is empty if the configuration leaves it open.
	Role string
}

// Managed reports whether the configuration asks for anything at all. An
// engine of which nothing is asked is left alone.
func (w Want) Managed() bool { return len(w.Items) > 0 || w.Role != "" }

// Have is what the engine says it has.
type Have struct {
	// Fence is the greatest fencing token that the engine has seen.
	Fence uint64
	Items []Item
	Role  string
}

// Verb is what an order does.
type Verb string

// Verbs of orders.
const (
	Load    Verb = "load"
	Unload  Verb = "unload"
	SetRole Verb = "role"
)

// Order is one order to the engine.
type Order struct {
	ID    uint64
	Fence uint64
	Verb  Verb
	Item  Item
	Role  string
}

// Permit names what only a few sidecars of the fleet may do at once.
type Permit string

const (
	// NoPermit is needed for nothing.
	NoPermit Permit = ""
	// PermitLoad is needed to read from the weight store.
	PermitLoad Permit = "load"
	// PermitWave is needed to take away from a pool's capacity.
	PermitWave Permit = "wave"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Wanted is a configuration that came in force.
type Wanted struct{ Want Want }

// Observed is the engine's word on what it has, as the answer to the Observe
// with the same ID.
type Observed struct {
	ID   uint64
	Have Have
}

// ObserveFailed is an Observe without an answer.
type ObserveFailed struct{ ID uint64 }

// Granted is a permit that was obtained.
type Granted struct{ Permit Permit }

// Denied is a permit that is not to be had now.
type Denied struct{ Permit Permit }

// PermitLost is a permit whose lease has lapsed.
type PermitLost struct{}

// Validated tells whether this sidecar is still the one of its slot, and which
// revision is the newest.
type Validated struct {
	OK       bool
	Revision uint64
}

// Running is the number of requests that the engine serves.
type Running struct{ Count int }

// Answered is the engine's answer to an order. Refused means that it has seen
// a newer fencing token.
type Answered struct {
	ID      uint64
	Refused bool
}

// Unanswered is an order that may or may not take effect.
type Unanswered struct{ ID uint64 }

// Ticked lets time pass.
type Ticked struct{}

func (Wanted) isEvent()        {}
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

// Observe asks the engine what it has. ID marks its answer.
type Observe struct{ ID uint64 }

// Acquire asks for a permit.
type Acquire struct{ Permit Permit }

// Release gives the permit back.
type Release struct{ Permit Permit }

// Pause stops or resumes new requests.
type Pause struct{ On bool }

// Validate asks for a Validated.
type Validate struct{}

// Send gives the order to the engine.
type Send struct{ Order Order }

func (Observe) isAction()  {}
func (Acquire) isAction()  {}
func (Release) isAction()  {}
func (Pause) isAction()    {}
func (Validate) isAction() {}
func (Send) isAction()     {}
