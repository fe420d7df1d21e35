package spread

import "time"

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Heard is a peer's word on the revision it holds and on how long ago that
// revision was known to be the newest.
type Heard struct {
	Peer     string
	Revision uint64
	Age      time.Duration
}

// Fetched is a peer's answer to a Fetch. Revision is what is held after it.
type Fetched struct {
	Peer     string
	Revision uint64
	Age      time.Duration
}

// FetchFailed is a Fetch without an answer.
type FetchFailed struct{ Peer string }

// PlatformAnswered is the platform's answer to Watch or Read. Revision is what
// is held after it.
type PlatformAnswered struct{ Revision uint64 }

// PlatformFailed is a Watch or Read without a useful answer.
type PlatformFailed struct{}

// Accepted is a revision that this process itself has written.
type Accepted struct{ Revision uint64 }

// Member is one router of the instance list.
type Member struct{ ID, DataCentre string }

// Listed is a new instance list: the routers, and the number of all processes.
type Listed struct {
	Routers   []Member
	Processes int
}

// Ticked lets time pass.
type Ticked struct{}

func (Heard) isEvent()            {}
func (Fetched) isEvent()          {}
func (FetchFailed) isEvent()      {}
func (PlatformAnswered) isEvent() {}
func (PlatformFailed) isEvent()   {}
func (Accepted) isEvent()         {}
func (Listed) isEvent()           {}
func (Ticked) isEvent()           {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Fetch asks a peer for what this process is behind with.
type Fetch struct{ Peer string }

// Watch waits at the platform for a change after the held revision. It is
// answered by PlatformAnswered, also when nothing changed in time.
type Watch struct{}

// Read reads the platform once.
type Read struct{}

// Announce tells all peers the revision held, at once.
type Announce struct{ Revision uint64 }

// Freshness tells that the process came to know, or no longer knows, that it
// holds the newest revision.
type Freshness struct{ Stale bool }

func (Fetch) isAction()     {}
func (Watch) isAction()     {}
func (Read) isAction()      {}
func (Announce) isAction()  {}
func (Freshness) isAction() {}
