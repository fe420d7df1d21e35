package claim

import (
	"time"

	"goldcrestport/state/claims"
)

// Kind of a call.
type Kind uint8

const (
	// Acquire claims a key for an attempt.
	Acquire Kind = iota + 1
	// Finish records the result of the attempt that holds the key.
	Finish
	// Release gives the key of an attempt up that was not run.
	Release
)

// Call asks for one change of a record.
type Call struct {
	// ID is unique within the process; the Answer carries it.
	ID       uint64
	Kind     Kind
	Key      claims.Key
	Digest   string
	Attempt  string
	Executor claims.Executor
	// Over names an attempt whose claim may be replaced, since its executor
	// said that it was not run and never will be. Acquire only.
	Over string
	// Fresh asks for an answer that rests on a read begun after the call.
	Fresh bool
	// Result of the attempt. Finish only.
	Result claims.Result
	// Deadline after which nobody waits for the answer.
	Deadline time.Time
}

// Verdict is the answer to a Call.
type Verdict uint8

const (
	// Granted means that the record names this attempt: it may be dispatched.
	Granted Verdict = iota + 1
	// Held means that another attempt holds the key.
	Held
	// Replayed means that the key has a result already.
	Replayed
	// Reused means that the key belongs to another request body.
	Reused
	// Done means that a Finish or Release is in the record, or that the
	// record has no use of it.
	Done
	// Unavailable means that the change could not be made in time. It may
	// still take effect, so that the attempt must not be dispatched.
	Unavailable
	// Full means that the shard has no room for another key.
	Full
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Asked is a new call.
type Asked struct{ Call Call }

// Result of a platform call.
type CallResult uint8

const (
	// OK means that the platform answered.
	OK CallResult = iota + 1
	// Conflict means that the shard has another version: nothing was written.
	Conflict
	// Refused means that the rate was exceeded: nothing was written.
	Refused
	// TooLarge means that the value is too large: nothing was written.
	TooLarge
	// Lost means that no answer came: the call may have taken effect, now or
	// later.
	Lost
)

// ReadDone ends a Read. A shard that does not exist has version 0.
type ReadDone struct {
	Shard   int
	Result  CallResult
	Version uint64
	Table   *claims.Table
}

// WriteDone ends a Write.
type WriteDone struct {
	Shard   int
	Result  CallResult
	Version uint64
}

// SealDone ends a Seal.
type SealDone struct {
	Shard  int
	Result CallResult
}

// SegmentDone ends a ReadSegment. A segment that does not exist is Lost.
type SegmentDone struct {
	Shard  int
	ID     string
	Result CallResult
	Table  *claims.Table
}

// HomesSet tells which shards have their home here and how many routers live.
type HomesSet struct {
	Home    [claims.Shards]bool
	Routers int
}

// Flushed makes every waiting result due at once, as before a planned stop.
type Flushed struct{}

// Ticked lets time pass.
type Ticked struct{}

func (Asked) isEvent()       {}
func (ReadDone) isEvent()    {}
func (WriteDone) isEvent()   {}
func (SealDone) isEvent()    {}
func (SegmentDone) isEvent() {}
func (HomesSet) isEvent()    {}
func (Flushed) isEvent()     {}
func (Ticked) isEvent()      {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Read reads a shard and comes back as ReadDone.
type Read struct{ Shard int }

// Write replaces the shard if it has the version and comes back as WriteDone.
type Write struct {
	Shard   int
	Version uint64
	Value   []byte
	// Calls is the number of calls grouped in the write.
	Calls int
}

// Seal writes a new segment, which must not exist, and comes back as SealDone.
// Nothing names the segment yet; it may be dropped once Expiry has passed.
type Seal struct {
	Shard int
	ID    string
	Value []byte
}

// ReadSegment reads a segment and comes back as SegmentDone.
type ReadSegment struct {
	Shard int
	ID    string
}

// Answer ends a call. Record is set for Held and Replayed.
type Answer struct {
	Call    uint64
	Verdict Verdict
	Record  claims.Record
}

func (Read) isAction()        {}
func (Write) isAction()       {}
func (Seal) isAction()        {}
func (ReadSegment) isAction() {}
func (Answer) isAction()      {}
