package claim

import (
	"time"

	"goldcrestport/state/claims"
)

// Kind is the operation that a Call requests.
type Kind uint8

const (
	// Acquire claims a key for an attempt.
	Acquire Kind = iota + 1
	// Finish records the result of the attempt that has claimed the key.
	Finish
	// Release removes the claim of an attempt that was not run.
	Release
)

// Call requests one change of a record.
type Call struct {
	// ID is unique within the process; the Answer carries it.
	ID       uint64
	Kind     Kind
	Key      claims.Key
	Digest   string
	Attempt  string
	Executor claims.Executor
	// Over names an attempt whose claim may be replaced, because its executor
	// reported that it was not run and never will be. Acquire only.
	Over string
	// Fresh requires an answer based on a read started after the call.
	Fresh bool
	// Result of the attempt. Finish only.
	Result claims.Result
	// Deadline after which the caller no longer waits for the answer.
	Deadline time.Time
}

// Verdict is the answer to a Call.
type Verdict uint8

const (
	// Granted means that the record names this attempt: it may be dispatched.
	Granted Verdict = iota + 1
	// Held means that another attempt has claimed the key.
	Held
	// Replayed means that the key already has a result, which is in the record.
	Replayed
	// Reused means that the key was used with a different request body.
	Reused
	// Done means that a Finish or Release has been recorded, or that the
	// record doesn't need it, as the attempt has no claim on the key.
	Done
	// Unavailable means that the change was not confirmed in time. It may
	// still take effect, so the attempt must not be dispatched.
	Unavailable
	// Full means that the shard has no room for another key.
	Full
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// CallReceived is a new call.
type CallReceived struct{ Call Call }

// CallResult is the result of a platform call.
type CallResult uint8

const (
	// OK means that the platform answered.
	OK CallResult = iota + 1
	// Conflict means that the shard has another version: nothing was written.
	Conflict
	// Refused means that the platform's rate limit was exceeded: nothing was
	// written.
	Refused
	// TooLarge means that the value exceeds the platform's limit: nothing was
	// written.
	TooLarge
	// Lost means that no answer was received: the call may have taken effect
	// or may take effect later.
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

// HomesChanged reports the shards whose home is this router, and the number of
// running routers.
type HomesChanged struct {
	Home    [claims.Shards]bool
	Routers int
}

// Flushed makes every pending result due for a write immediately, as before a
// planned shutdown.
type Flushed struct{}

// Ticked reports that time has passed.
type Ticked struct{}

func (CallReceived) isEvent() {}
func (ReadDone) isEvent()     {}
func (WriteDone) isEvent()    {}
func (SealDone) isEvent()     {}
func (SegmentDone) isEvent()  {}
func (HomesChanged) isEvent() {}
func (Flushed) isEvent()      {}
func (Ticked) isEvent()       {}

// Action is an output of State.Step that the driver performs.
type Action interface{ isAction() }

// Read reads a shard; ReadDone reports the result.
type Read struct{ Shard int }

// Write replaces the shard's value by compare-and-swap on the version; WriteDone
// reports the result.
type Write struct {
	Shard   int
	Version uint64
	Value   []byte
	// Calls is the number of calls batched in the write.
	Calls int
}

// Seal writes a new segment, which must not exist; SealDone reports the result.
// No shard references the segment yet; it may be deleted after Expiry.
type Seal struct {
	Shard int
	ID    string
	Value []byte
}

// ReadSegment reads a segment; SegmentDone reports the result.
type ReadSegment struct {
	Shard int
	ID    string
}

// Answer answers a call. Record is set for Held, Replayed and Reused.
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
