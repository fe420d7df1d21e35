package dispatch

import "time"

// Request holds the attributes of a request on which its placement depends.
type Request struct {
	ID      string
	Service string
	Team    string
	// Bytes is the size of the body. It counts against the queue limits.
	Bytes int64
	// Estimate is the expected cost, in cost units.
	Estimate float64
	// Deadline is the time after which the caller no longer needs the
	// response; zero for none.
	Deadline time.Time
	// Idempotent requests can be retried safely and are preferred as probe
	// requests.
	Idempotent bool
	// Prefix is the hash of the prompt's prefix, 0 for none.
	Prefix uint64
	// MaxQueued and MaxQueuedBytes override Queues.PerTeam and
	// Queues.PerTeamBytes if positive.
	MaxQueued      int
	MaxQueuedBytes int64
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Arrived reports a new request. Its ID must be unique.
type Arrived struct{ Request Request }

// Cancelled reports a request that its caller has cancelled or whose caller has
// disconnected.
type Cancelled struct {
	ID string
	// Pull is the pull that was answered with the request, if the attempt has
	// not started; 0 for none.
	Pull uint64
}

// SidecarUp reports that the control stream of a sidecar has opened.
type SidecarUp struct{ Sidecar, Service string }

// SidecarDown reports that the control stream of a sidecar has ended.
type SidecarDown struct{ Sidecar string }

// LoadReported is a load report of a sidecar.
type LoadReported struct {
	Sidecar string
	Slots   int
	Free    int
	// Waiting is the number of attempts queued at the sidecar.
	Waiting int
	// Draining reports that the sidecar accepts no new work.
	Draining bool
	// Ejected reports that the sidecar itself has ejected its backend server
	// because its requests failed.
	Ejected bool
}

// Pulled reports that a sidecar asks for one request of a team.
type Pulled struct {
	Sidecar string
	Pull    uint64
	Team    string
	// Prefixes are the prompt prefixes that the backend server served most
	// recently and is likely to have cached.
	Prefixes []uint64
}

// Declined reports an attempt that a sidecar rejected and will not run. Free is
// the number of free slots of the sidecar.
type Declined struct {
	ID      string
	Sidecar string
	Free    int
}

// Failed reports an attempt that failed at a sidecar. If Retry is set, another
// attempt is requested, which results in a Send, now or later, or in a Refuse.
type Failed struct {
	ID      string
	Sidecar string
	Retry   bool
}

// Succeeded reports an attempt that the backend server answered.
type Succeeded struct {
	ID      string
	Sidecar string
}

// Ended reports that a request has finished, whatever its outcome.
type Ended struct {
	ID string
	// Cost is the actual cost in cost units, 0 if not known.
	Cost float64
}

// SharesSet replaces the shares of the teams.
type SharesSet struct{ Shares map[string]float64 }

// RouterCountChanged reports the number of live routers, including this one.
type RouterCountChanged struct{ Count int }

// Ticked is the periodic timer event. It triggers maintenance and expiry.
type Ticked struct{}

func (Arrived) isEvent()            {}
func (Cancelled) isEvent()          {}
func (SidecarUp) isEvent()          {}
func (SidecarDown) isEvent()        {}
func (LoadReported) isEvent()       {}
func (Pulled) isEvent()             {}
func (Declined) isEvent()           {}
func (Failed) isEvent()             {}
func (Succeeded) isEvent()          {}
func (Ended) isEvent()              {}
func (SharesSet) isEvent()          {}
func (RouterCountChanged) isEvent() {}
func (Ticked) isEvent()             {}
