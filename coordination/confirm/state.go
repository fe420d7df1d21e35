package confirm

import "goldcrestport/state/config"

// State is one confirmation. It must be used by one goroutine at a time.
type State struct {
	proposal Proposal
	head     *config.Document
	version  uint64
	// entryRevision is the revision whose history entry is being read.
	entryRevision uint64
	// inDoubt is true if a write of the head may have taken effect.
	inDoubt  bool
	failures int
}

// New returns a confirmation that has not started.
func New(p Proposal) *State { return &State{proposal: p} }

// Step applies one event and returns the next action.
func (s *State) Step(ev Event) Action {
	switch ev := ev.(type) {
	case HeadRead:
		s.head, s.version = ev.Head, ev.Version
		return s.checkHead()
	case EntryRead:
		return s.entryRead(ev)
	case EntryWritten:
		return s.writeHead()
	case EntryInDoubt:
		return s.retry(ReadEntry{Revision: s.entryRevision, Pause: true})
	case ReadFailed:
		return s.retry(s.repeatRead())
	case HeadWritten:
		return s.done(Accepted, s.next(), true)
	case HeadConflict:
		return s.retry(ReadHead{})
	case HeadRefused:
		return s.retry(ReadHead{Pause: true})
	case HeadInDoubt:
		s.inDoubt = true
		return s.retry(ReadHead{Pause: true})
	case HeadTooLarge:
		return s.done(TooLarge, nil, false)
	case Expired:
		return s.giveUp()
	default:
		return ReadHead{}
	}
}

// repeatRead repeats the read that failed.
func (s *State) repeatRead() Action {
	if s.entryRevision > 0 {
		return ReadEntry{Revision: s.entryRevision, Pause: true}
	}
	return ReadHead{Pause: true}
}

// retry returns the action, or gives up after too many failures.
func (s *State) retry(a Action) Action {
	s.failures++
	if s.failures > s.proposal.Attempts {
		return s.giveUp()
	}
	if _, isHead := a.(ReadHead); isHead {
		s.entryRevision = 0
	}
	return a
}

func (s *State) giveUp() Action {
	if s.inDoubt {
		return s.done(OutcomeUnknown, nil, false)
	}
	return s.done(Unavailable, nil, false)
}

func (s *State) done(k Kind, d *config.Document, own bool) Action {
	return Done{Kind: k, Document: d, Head: s.head, Own: own}
}

func (s *State) headRevision() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.Revision
}

// checkHead compares the head with the proposal.
func (s *State) checkHead() Action {
	revision := s.headRevision()
	switch {
	case revision < s.proposal.Base:
		return s.done(Stale, nil, false)
	case revision == s.proposal.Base:
		return s.continueFromBase()
	case revision == s.proposal.Base+1:
		return s.compare(s.head)
	default:
		return s.readEntry(s.proposal.Base + 1)
	}
}

// continueFromBase continues when the base is still the newest revision.
func (s *State) continueFromBase() Action {
	if s.proposal.Next == nil {
		return s.done(Open, nil, false)
	}
	if s.proposal.Base == 0 {
		return s.writeHead()
	}
	return s.readEntry(s.proposal.Base)
}

// compare reports whether the revision that followed the base is this plan.
func (s *State) compare(followed *config.Document) Action {
	if followed.PlanDigest == s.proposal.Digest {
		return s.done(Accepted, followed, s.inDoubt)
	}
	return s.done(Stale, nil, false)
}

func (s *State) readEntry(revision uint64) Action {
	s.entryRevision = revision
	return ReadEntry{Revision: revision}
}

// entryRead handles the base's history entry before the swap, or the entry of
// the revision that followed the base.
func (s *State) entryRead(ev EntryRead) Action {
	if s.entryRevision == s.proposal.Base && s.headRevision() == s.proposal.Base {
		return s.archiveBase(ev)
	}
	switch {
	case ev.Entry == nil || ev.Entry.Revision < s.entryRevision:
		// A revision is overwritten only after its entry is written, so the
		// entry exists unless another program changed the keys.
		return s.done(HistoryOverwritten, nil, false)
	case ev.Entry.Revision > s.entryRevision:
		return s.done(HistoryOverwritten, nil, false)
	default:
		return s.compare(ev.Entry)
	}
}

// archiveBase writes the base's history entry, unless its slot already has that
// entry or a newer one.
func (s *State) archiveBase(ev EntryRead) Action {
	if ev.Entry != nil && ev.Entry.Revision >= s.proposal.Base {
		return s.writeHead()
	}
	return WriteEntry{Entry: Entry(s.head), Version: ev.Version}
}

func (s *State) writeHead() Action {
	return WriteHead{Document: s.next(), Version: s.version}
}

// next returns the document of the revision after the base.
func (s *State) next() *config.Document {
	base := s.head
	if base == nil {
		base = &config.Document{}
	}
	d := s.proposal.Next.Content()
	back := config.Between(d, base)
	d.Revision = s.proposal.Base + 1
	d.PlanDigest = s.proposal.Digest
	d.Accepted = s.proposal.Next.Accepted
	d.Back = &back
	return d
}

// Entry returns the history entry of a revision: the document without its
// content, but with the patch that leads back to its predecessor.
func Entry(d *config.Document) *config.Document {
	return &config.Document{Revision: d.Revision, PlanDigest: d.PlanDigest, Accepted: d.Accepted, Back: d.Back}
}
