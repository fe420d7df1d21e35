package share

import (
	"time"

	"goldcrestport/state/ledger"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Interest is a router's message about the queued work of a team.
type Interest struct {
	Router string
	Team   string
	// Count is the number of queued requests; 0 withdraws the interest.
	Count int
	// Oldest is how long the oldest of them has been queued.
	Oldest time.Duration
	// Spread is the number of sidecars that see the team.
	Spread int
}

// RouterDown reports that a router's control stream ended.
type RouterDown struct{ Router string }

// Offered is an attempt that arrived. Pull is 0 if no pull requested it.
type Offered struct {
	Attempt uint64
	Pull    uint64
	Router  string
	Team    string
	// Class of the request, which selects its cost estimate; may be empty.
	Class string
	// Estimate is the client's hint of the cost; 0 for none.
	Estimate float64
}

// PullEmpty answers a pull for which the router had no request.
type PullEmpty struct{ Pull uint64 }

// PullFailed reports a pull that could not be sent.
type PullFailed struct{ Pull uint64 }

// Progressed reports the cost of a running attempt so far.
type Progressed struct {
	Attempt uint64
	Cost    float64
}

// Ended reports that an attempt released its slot, with its final cost.
type Ended struct {
	Attempt uint64
	Cost    float64
	// Completed is true if the request ran to its end, so that its cost is learned.
	Completed bool
}

// SharesSet replaces the shares of the teams.
type SharesSet struct{ Shares map[string]float64 }

// SlotsSet changes the number of slots.
type SlotsSet struct{ Slots int }

// CountersReceived is a message from another sidecar of the pool.
type CountersReceived struct {
	Counters []ledger.Counter
	// Ahead is, per team, how far it is ahead of the smallest virtual service at the other
	// sidecar; empty if the message does not include it.
	Ahead map[string]float64
}

// ShutdownStarted stops all new work permanently.
type ShutdownStarted struct{}

// Drained stops new work or allows it again, as the configuration says.
type Drained struct{ On bool }

// Ticked advances the time.
type Ticked struct{}

func (Interest) isEvent()         {}
func (RouterDown) isEvent()       {}
func (Offered) isEvent()          {}
func (PullEmpty) isEvent()        {}
func (PullFailed) isEvent()       {}
func (Progressed) isEvent()       {}
func (Ended) isEvent()            {}
func (SharesSet) isEvent()        {}
func (SlotsSet) isEvent()         {}
func (CountersReceived) isEvent() {}
func (ShutdownStarted) isEvent()  {}
func (Drained) isEvent()          {}
func (Ticked) isEvent()           {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Start runs an attempt now.
type Start struct{ Attempt uint64 }

// Decline rejects an attempt, which was not run.
type Decline struct{ Attempt uint64 }

// Pull asks a router for one request of a team.
type Pull struct {
	ID     uint64
	Router string
	Team   string
}

// Report sends the present capacity to every router.
type Report struct {
	Slots    int
	Free     int
	Draining bool
	// Waiting is the number of attempts queued here.
	Waiting int
}

func (Start) isAction()   {}
func (Decline) isAction() {}
func (Pull) isAction()    {}
func (Report) isAction()  {}
