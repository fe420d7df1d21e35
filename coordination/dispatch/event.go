package dispatch

import "time"

// Request is what the decision needs to know of a request.
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
	// Idempotent requests are preferred as probes.
	Idempotent bool
	// Prefix is the hash of the begin of the prompt, 0 for none.
	Prefix uint64
	// MaxQueued and MaxQueuedBytes override the defaults if positive.
	MaxQueued      int
	MaxQueuedBytes int64
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Arrived is a new request. Its ID is unique.
type Arrived struct{ Request Request }

// Withdrawn is a request whose caller is gone.
type Withdrawn struct {
	ID string
	// Pull that was answered with the request, if its attempt was not
	// started; 0 for none.
	Pull uint64
}

// SidecarUp is a control stream that opened.
type SidecarUp struct{ Sidecar, Service string }

// SidecarDown is a control stream that ended.
type SidecarDown struct{ Sidecar string }

// LoadReported is a sidecar's own view of its room.
type LoadReported struct {
	Sidecar string
	Slots   int
	Free    int
	// Waiting is the number of attempts queued at the sidecar.
	Waiting int
	Leaving bool
	// Ejected tells that the sidecar itself found its backend server failing.
	Ejected bool
}

// Pulled is a sidecar that asks for one request of a team.
type Pulled struct {
	Sidecar string
	Pull    uint64
	Team    string
	// Prefixes that the backend server served last.
	Prefixes []uint64
}

// Declined is an attempt that a sidecar did not take and will not run.
type Declined struct {
	ID      string
	Sidecar string
	Free    int
}

// Failed is an attempt that failed at a sidecar. With Retry the request asks
// for another attempt; the answer is a Send, now or later, or a Refuse.
type Failed struct {
	ID      string
	Sidecar string
	Retry   bool
}

// Succeeded is an attempt that the backend server answered.
type Succeeded struct {
	ID      string
	Sidecar string
}

// Ended is a request that has its final outcome.
type Ended struct {
	ID string
	// Cost of the run in cost units, 0 if not known.
	Cost float64
}

// SharesSet replaces the shares of the teams.
type SharesSet struct{ Shares map[string]float64 }

// RoutersSeen tells the number of live routers, this one included.
type RoutersSeen struct{ Count int }

// Ticked lets time pass.
type Ticked struct{}

func (Arrived) isEvent()      {}
func (Withdrawn) isEvent()    {}
func (SidecarUp) isEvent()    {}
func (SidecarDown) isEvent()  {}
func (LoadReported) isEvent() {}
func (Pulled) isEvent()       {}
func (Declined) isEvent()     {}
func (Failed) isEvent()       {}
func (Succeeded) isEvent()    {}
func (Ended) isEvent()        {}
func (SharesSet) isEvent()    {}
func (RoutersSeen) isEvent()  {}
func (Ticked) isEvent()       {}
