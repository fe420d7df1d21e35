// Package confirm decides how a plan becomes the next revision on the
// platform, or why it can't.
//
// The platform's compare-and-swap on one key decides which revision follows
// which, so accepted revisions form one line. Two rules make this safe although
// answers are lost and routers stop at any step:
//
//   - a revision is overwritten only after its history entry stands, so every
//     accepted revision can be found later;
//   - a write without an answer is settled by reading back, never by guessing.
//
// The package is a pure state machine; the driver is transport/operators.
//
// The operators' interface of routers with sidecars uses it.
package confirm

import "goldcrestport/state/config"

// Proposal is a plan to be confirmed or settled.
type Proposal struct {
	// Base is the revision that the plan changes, 0 for none.
	Base uint64
	// Digest of the plan.
	Digest string
	// Next is the wanted content with its Acceptance. Nil means that the fate
	// of the plan is only looked up.
	Next *config.Document
	// Attempts bounds the calls of the platform that may go wrong.
	Attempts int
}

// Kind is the result of a confirmation.
type Kind int

const (
	// Accepted means that the plan is revision Base+1.
	Accepted Kind = iota + 1
	// Stale means that the plan isn't and never will be a revision: another
	// one followed the base.
	Stale
	// Open means that nothing followed the base yet, so the plan may still be
	// confirmed. It is the result of looking up only.
	Open
	// Unavailable means that the platform can't be asked now and this
	// confirmation wrote nothing.
	Unavailable
	// Unsettled means that a write may or may not have taken effect.
	Unsettled
	// Forgotten means that the history no longer reaches back to the plan.
	Forgotten
	// TooLarge means that the document doesn't fit on the platform.
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

// Started begins the confirmation.
type Started struct{}

// HeadRead is the newest revision, nil if there is none, with its version on
// the platform.
type HeadRead struct {
	Head    *config.Document
	Version uint64
}

// EntryRead is a history entry, nil if its place is empty, with its version.
type EntryRead struct {
	Entry   *config.Document
	Version uint64
}

// ReadFailed means that a read got no answer.
type ReadFailed struct{}

// EntryWritten means that the history entry stands.
type EntryWritten struct{}

// EntryInDoubt means that the history entry may or may not stand.
type EntryInDoubt struct{}

// HeadWritten means that the head was swapped.
type HeadWritten struct{}

// HeadConflict means that the head has another version.
type HeadConflict struct{}

// HeadRefused means that the write was refused and had no effect.
type HeadRefused struct{}

// HeadInDoubt means that the answer to the write was lost.
type HeadInDoubt struct{}

// HeadTooLarge means that the document doesn't fit.
type HeadTooLarge struct{}

// Expired ends the confirmation because its time is over.
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

// Action is what the driver does next.
type Action interface{ isAction() }

// ReadHead reads the newest revision. Pause asks to wait first.
type ReadHead struct{ Pause bool }

// ReadEntry reads the history entry of the revision. Pause asks to wait first.
type ReadEntry struct {
	Revision uint64
	Pause    bool
}

// WriteEntry puts the history entry in its place if that has the version.
type WriteEntry struct {
	Entry   *config.Document
	Version uint64
}

// WriteHead swaps the head if it has the version.
type WriteHead struct {
	Document *config.Document
	Version  uint64
}

// Done ends the confirmation.
type Done struct {
	Kind Kind
	// Document is the accepted revision as far as it is known: whole if it is
	// the head, else its history entry.
	Document *config.Document
	// Head is the newest revision that was read, nil if none.
	Head *config.Document
	// Own tells that this confirmation made the revision.
	Own bool
}

func (ReadHead) isAction()   {}
func (ReadEntry) isAction()  {}
func (WriteEntry) isAction() {}
func (WriteHead) isAction()  {}
func (Done) isAction()       {}
