package spread

import "time"

// Event is an input of State.Step.
type Event interface{ isEvent() }

// PeerReported is a peer's report of its current revision. Age is the time since
// that revision was last confirmed as the newest.
type PeerReported struct {
	Peer     string
	Revision uint64
	Age      time.Duration
}

// Fetched is a peer's answer to a Fetch. Revision is this process's revision
// after it was applied.
type Fetched struct {
	Peer     string
	Revision uint64
	Age      time.Duration
}

// FetchFailed reports that a Fetch got no answer.
type FetchFailed struct{ Peer string }

// PlatformAnswered is the platform's answer to Watch or Read. Revision is this
// process's revision after it was applied.
type PlatformAnswered struct{ Revision uint64 }

// PlatformFailed reports that a Watch or Read failed or got an unusable answer.
type PlatformFailed struct{}

// Accepted reports a revision that this process has written itself.
type Accepted struct{ Revision uint64 }

// Member is one router of the instance list.
type Member struct{ ID, DataCentre string }

// InstancesListed reports a new instance list: the routers, and the number of all
// processes.
type InstancesListed struct {
	Routers   []Member
	Processes int
}

// Ticked reports that time has passed.
type Ticked struct{}

func (PeerReported) isEvent()     {}
func (Fetched) isEvent()          {}
func (FetchFailed) isEvent()      {}
func (PlatformAnswered) isEvent() {}
func (PlatformFailed) isEvent()   {}
func (Accepted) isEvent()         {}
func (InstancesListed) isEvent()  {}
func (Ticked) isEvent()           {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Fetch requests from a peer the revisions that this process is missing.
type Fetch struct{ Peer string }

// Watch waits for the platform to report a change after the current revision. It
// ends with PlatformAnswered, also if the wait expires without a change.
type Watch struct{}

// Read reads the platform once.
type Read struct{}

// Announce sends the current revision to all peers immediately.
type Announce struct{ Revision uint64 }

// Freshness reports a change of staleness: whether the current revision was
// confirmed as the newest within StaleAfter.
type Freshness struct{ Stale bool }

func (Fetch) isAction()     {}
func (Watch) isAction()     {}
func (Read) isAction()      {}
func (Announce) isAction()  {}
func (Freshness) isAction() {}
