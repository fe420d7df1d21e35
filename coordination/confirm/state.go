package confirm

import "goldcrestport/state/config"

// State is one confirmation. It must be used by one goroutine at a time.
type State struct {
	p       Proposal
	head    *config.Document
	version uint64
	// entry is the revision whose history entry is being read.
	entry uint64
	// inDoubt tells that a write of the head may have taken effect.
	inDoubt bool
	failed  int
}

// New returns a confirmation that has not begun.
func New(p Proposal) *State { return &State{p: p} }

// Step applies one event and returns the next action.
func (s *State) Step(ev Event) Action {
	switch ev := ev.(type) {
	case HeadRead:
		s.head, s.version = ev.Head, ev.Version
		return s.judge()
	case EntryRead:
		return s.entryRead(ev)
	case EntryWritten:
		return s.writeHead()
	case EntryInDoubt:
		return s.retry(ReadEntry{Revision: s.entry, Pause: true})
	case ReadFailed:
		return s.retry(s.again())
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

// again repeats the read that failed.
func (s *State) again() Action {
	if s.entry > 0 {
		return ReadEntry{Revision: s.entry, Pause: true}
	}
	return ReadHead{Pause: true}
}

// retry returns the action unless too much went wrong.
func (s *State) retry(a Action) Action {
	s.failed++
	if s.failed > s.p.Attempts {
		return s.giveUp()
	}
	if _, isHead := a.(ReadHead); isHead {
		s.entry = 0
	}
	return a
}

func (s *State) giveUp() Action {
	if s.inDoubt {
		return s.done(Unsettled, nil, false)
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

// judge compares the head with the proposal.
func (s *State) judge() Action {
	revision := s.headRevision()
	switch {
	case revision < s.p.Base:
		return s.done(Stale, nil, false)
	case revision == s.p.Base:
		return s.fromBase()
	case revision == s.p.Base+1:
		return s.compare(s.head)
	default:
		return s.readEntry(s.p.Base + 1)
	}
}

// fromBase goes on while the base is still the newest revision.
func (s *State) fromBase() Action {
	if s.p.Next == nil {
		return s.done(Open, nil, false)
	}
	if s.p.Base == 0 {
		return s.writeHead()
	}
	return s.readEntry(s.p.Base)
}

// compare tells whether the revision that followed the base is this plan's.
func (s *State) compare(followed *config.Document) Action {
	if followed.PlanDigest == s.p.Digest {
		return s.done(Accepted, followed, s.inDoubt)
	}
	return s.done(Stale, nil, false)
}

func (s *State) readEntry(revision uint64) Action {
	s.entry = revision
	return ReadEntry{Revision: revision}
}

// entryRead handles the base's history entry before the swap, or the entry of
// the revision that followed the base.
func (s *State) entryRead(ev EntryRead) Action {
	if s.entry == s.p.Base && s.headRevision() == s.p.Base {
		return s.keepBase(ev)
	}
	switch {
	case ev.Entry == nil || ev.Entry.Revision < s.entry:
		// A revision is overwritten only after its entry stands, so the
		// entry is there unless someone else wrote the keys.
		return s.done(Forgotten, nil, false)
	case ev.Entry.Revision > s.entry:
		return s.done(Forgotten, nil, false)
	default:
		return s.compare(ev.Entry)
	}
}

// keepBase writes the base's entry unless its place holds that or a newer one.
func (s *State) keepBase(ev EntryRead) Action {
	if ev.Entry != nil && ev.Entry.Revision >= s.p.Base {
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
	d := s.p.Next.Content()
	back := config.Between(d, base)
	d.Revision = s.p.Base + 1
	d.PlanDigest = s.p.Digest
	d.Accepted = s.p.Next.Accepted
	d.Back = &back
	return d
}

// Entry returns the history entry of a revision: the document without its
// content.
func Entry(d *config.Document) *config.Document {
	return &config.Document{Revision: d.Revision, PlanDigest: d.PlanDigest, Accepted: d.Accepted, Back: d.Back}
}
