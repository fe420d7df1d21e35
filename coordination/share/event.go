package share

import (
	"time"

	"goldcrestport/state/ledger"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Interest is a router's word on a team's waiting work.
type Interest struct {
	Router string
	Team   string
	// Count of requests that wait; 0 withdraws the interest.
	Count int
	// Oldest is how long the oldest of them has waited.
	Oldest time.Duration
	// Spread is the number of sidecars that see the team.
	Spread int
}

// RouterDown is a control stream that ended.
type RouterDown struct{ Router string }

// Offered is an attempt that arrived. Pull is 0 if it was not asked for.
type Offered struct {
	Attempt uint64
	Pull    uint64
	Router  string
	Team    string
	// Class of the request, by which its cost is estimated; may be empty.
	Class string
	// Estimate is the caller's hint of the cost; 0 for none.
	Estimate float64
}

// PullEmpty is a pull for which the router had nothing.
type PullEmpty struct{ Pull uint64 }

// PullFailed is a pull that could not be sent.
type PullFailed struct{ Pull uint64 }

// Progressed tells the cost that a running attempt has had so far.
type Progressed struct {
	Attempt uint64
	Cost    float64
}

// Ended is an attempt that released its slot, with its final cost.
type Ended struct {
	Attempt uint64
	Cost    float64
	// Whole tells that the request ran to its end, so its cost is learnt.
	Whole bool
}

// SharesSet replaces the shares of the teams.
type SharesSet struct{ Shares map[string]float64 }

// SlotsSet changes the number of slots.
type SlotsSet struct{ Slots int }

// Heard is a message of another sidecar of the pool.
type Heard struct {
	Counters []ledger.Counter
	// Ahead is, per team, how far the other sidecar sees it ahead of the
	// smallest virtual service; empty if it did not tell.
	Ahead map[string]float64
}

// Left stops all new work for good.
type Left struct{}

// Drained stops (or allows again) new work by the configuration.
type Drained struct{ On bool }

// Ticked lets time pass.
type Ticked struct{}

func (Interest) isEvent()   {}
func (RouterDown) isEvent() {}
func (Offered) isEvent()    {}
func (PullEmpty) isEvent()  {}
func (PullFailed) isEvent() {}
func (Progressed) isEvent() {}
func (Ended) isEvent()      {}
func (SharesSet) isEvent()  {}
func (SlotsSet) isEvent()   {}
func (Heard) isEvent()      {}
func (Left) isEvent()       {}
func (Drained) isEvent()    {}
func (Ticked) isEvent()     {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Start runs an attempt now.
type Start struct{ Attempt uint64 }

// Decline turns an attempt away; it was not run.
type Decline struct{ Attempt uint64 }

// Pull asks a router for one request of a team.
type Pull struct {
	ID     uint64
	Router string
	Team   string
}

// Report tells every router the new room.
type Report struct {
	Slots   int
	Free    int
	Leaving bool
	// Waiting is the number of attempts queued here.
	Waiting int
}

func (Start) isAction()   {}
func (Decline) isAction() {}
func (Pull) isAction()    {}
func (Report) isAction()  {}
