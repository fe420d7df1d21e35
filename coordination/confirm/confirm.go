// Package confirm decides how a plan becomes the next revision on the
// platform, or why it can't.
//
// Revisions are ordered by the platform's compare-and-swap on one key, the head,
// so the accepted revisions form a linear history. Two rules make this safe when
// answers are lost or a router stops at any step:
//
//   - a revision is overwritten only after its history entry has been written,
//     so every accepted revision can be found later;
//   - the outcome of a write without an answer is determined by reading back; it
//     is never assumed.
//
// The package is a pure state machine; the driver is transport/operators.
//
// The operators' interface of routers with sidecars uses it.
package confirm

import "goldcrestport/state/config"

// Proposal is a plan to be confirmed or looked up.
type Proposal struct {
	// Base is the revision that the plan applies to, 0 for none.
	Base uint64
	// Digest of the plan.
	Digest string
	// Next is the proposed content with its Acceptance. If it is nil, the
	// outcome of the plan is only looked up.
	Next *config.Document
	// Attempts is the maximum number of failed platform calls.
	Attempts int
}

// Kind is the result of a confirmation.
type Kind int

const (
	// Accepted means that the plan is revision Base+1.
	Accepted Kind = iota + 1
	// Stale means that the plan is not and never will be a revision: another
	// plan became revision Base+1, or the head is older than the base.
	Stale
	// Open means that the base is still the newest revision, so the plan may
	// still be confirmed. Only a lookup has this result.
	Open
	// Unavailable means that the platform can't be reached now and this
	// confirmation did not change the head.
	Unavailable
	// OutcomeUnknown means that a write of the head may or may not have taken
	// effect.
	OutcomeUnknown
	// HistoryOverwritten means that the history entry needed to decide the outcome has
	// been overwritten.
	HistoryOverwritten
	// TooLarge means that the document exceeds the platform's size limit.
	TooLarge
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	names := [...]string{"none", "accepted", "stale", "open", "unavailable", "unsettled", "forgotten", "too-large"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Event is the answer to an Action.
type Event interface{ isEvent() }

// Started starts the confirmation.
type Started struct{}

// HeadRead carries the newest revision, nil if there is none, and its version on
// the platform.
type HeadRead struct {
	Head    *config.Document
	Version uint64
}

// EntryRead carries a history entry, nil if its slot is empty, and the slot's
// version.
type EntryRead struct {
	Entry   *config.Document
	Version uint64
}

// ReadFailed means that a read got no answer.
type ReadFailed struct{}

// EntryWritten means that the history entry was written.
type EntryWritten struct{}

// EntryInDoubt means that the history entry may or may not have been written.
type EntryInDoubt struct{}

// HeadWritten means that the head was swapped.
type HeadWritten struct{}

// HeadConflict means that the head has a different version, so nothing was
// written.
type HeadConflict struct{}

// HeadRefused means that the platform refused the write of the head, which had
// no effect.
type HeadRefused struct{}

// HeadInDoubt means that the write of the head got no answer and may or may not
// have taken effect.
type HeadInDoubt struct{}

// HeadTooLarge means that the document exceeds the platform's size limit.
type HeadTooLarge struct{}

// Expired ends the confirmation because its deadline has passed.
type Expired struct{}

func (Started) isEvent()      {}
func (HeadRead) isEvent()     {}
func (EntryRead) isEvent()    {}
func (ReadFailed) isEvent()   {}
func (EntryWritten) isEvent() {}
func (EntryInDoubt) isEvent() {}
func (HeadWritten) isEvent()  {}
func (HeadConflict) isEvent() {}
func (HeadRefused) isEvent()  {}
func (HeadInDoubt) isEvent()  {}
func (HeadTooLarge) isEvent() {}
func (Expired) isEvent()      {}

// Action is the next operation for the driver to perform.
type Action interface{ isAction() }

// ReadHead reads the newest revision, after a delay if Pause is set.
type ReadHead struct{ Pause bool }

// ReadEntry reads the history entry of the revision, after a delay if Pause is
// set.
type ReadEntry struct {
	Revision uint64
	Pause    bool
}

// WriteEntry writes the history entry to its slot by compare-and-swap on the
// version.
type WriteEntry struct {
	Entry   *config.Document
	Version uint64
}

// WriteHead replaces the head by compare-and-swap on the version.
type WriteHead struct {
	Document *config.Document
	Version  uint64
}

// Done ends the confirmation.
type Done struct {
	Kind Kind
	// Document is the accepted revision: the full document if it is the head,
	// otherwise only its history entry.
	Document *config.Document
	// Head is the newest revision that was read, nil if none.
	Head *config.Document
	// Own is true if this confirmation may have written the revision itself.
	Own bool
}

func (ReadHead) isAction()   {}
func (ReadEntry) isAction()  {}
func (WriteEntry) isAction() {}
func (WriteHead) isAction()  {}
func (Done) isAction()       {}
