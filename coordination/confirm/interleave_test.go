package confirm_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"goldcrestport/coordination/confirm"
	"goldcrestport/state/config"
)

// ringSlots is the number of history slots; it is small, so that entries are
// overwritten within a test.
const ringSlots = 4

// cell is the value of one key on the platform.
type cell struct {
	doc     *config.Document
	version uint64
}

// fakePlatform is a model of the platform, with the writes that are still in
// flight.
type fakePlatform struct {
	head    cell
	ring    [ringSlots]cell
	version uint64
	delayed []confirm.Action
	// accepted holds the digest of each revision that the head has had.
	accepted []string
}

// write performs a compare-and-swap and reports whether it took effect.
func (w *fakePlatform) write(a confirm.Action) bool {
	target, doc, expect := &w.head, (*config.Document)(nil), uint64(0)
	switch a := a.(type) {
	case confirm.WriteHead:
		doc, expect = a.Document, a.Version
	case confirm.WriteEntry:
		target, doc, expect = &w.ring[a.Entry.Revision%ringSlots], a.Entry, a.Version
	}
	if target.version != expect {
		return false
	}
	w.version++
	*target = cell{doc, w.version}
	if target == &w.head {
		w.accepted = append(w.accepted, doc.PlanDigest)
	}
	return true
}

// answer performs the action with a random fault and returns the resulting event.
func (w *fakePlatform) answer(t *rapid.T, action confirm.Action) confirm.Event {
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lost before", "lost after", "late", "refused", "expired"}).Draw(t, "fault")
	switch a := action.(type) {
	case confirm.ReadHead:
		if fault == "expired" {
			return confirm.Expired{}
		}
		if fault != "none" {
			return confirm.ReadFailed{}
		}
		return confirm.HeadRead{Head: w.head.doc, Version: w.head.version}
	case confirm.ReadEntry:
		if fault != "none" {
			return confirm.ReadFailed{}
		}
		c := w.ring[a.Revision%ringSlots]
		return confirm.EntryRead{Entry: c.doc, Version: c.version}
	case confirm.WriteEntry:
		if w.applyFault(fault, action) || !w.write(action) {
			return confirm.EntryInDoubt{}
		}
		return confirm.EntryWritten{}
	default:
		if fault == "refused" {
			return confirm.HeadRefused{}
		}
		if w.applyFault(fault, action) {
			return confirm.HeadInDoubt{}
		}
		if !w.write(action) {
			return confirm.HeadConflict{}
		}
		return confirm.HeadWritten{}
	}
}

// applyFault applies a fault after which the writer doesn't know the outcome, and
// reports whether there was one.
func (w *fakePlatform) applyFault(fault string, action confirm.Action) bool {
	switch fault {
	case "lost before":
	case "lost after":
		w.write(action)
	case "late":
		w.delayed = append(w.delayed, action)
	default:
		return false
	}
	return true
}

// operator is one confirmation in progress.
type operator struct {
	proposal confirm.Proposal
	state    *confirm.State
	action   confirm.Action
	// sent is true if a write of the head without an answer was sent.
	sent bool
}

func (w *fakePlatform) newOperator(n int, base uint64, lookUp bool) *operator {
	// Some operators confirm the same plan concurrently.
	digest := fmt.Sprintf("%d-%d", base, n%3)
	p := confirm.Proposal{Base: base, Digest: digest, Attempts: 4}
	if !lookUp {
		p.Next = &config.Document{Drain: []string{digest}}
	}
	s := confirm.New(p)
	return &operator{proposal: p, state: s, action: s.Step(confirm.Started{})}
}

// check compares the result of a confirmation with the accepted revisions.
func (w *fakePlatform) check(t *rapid.T, o *operator, done confirm.Done) {
	base := int(o.proposal.Base)
	followed := len(w.accepted) > base
	isPlan := followed && w.accepted[base] == o.proposal.Digest
	switch {
	case done.Kind == confirm.Accepted && !isPlan:
		t.Fatalf("%q was reported as accepted, but the accepted revisions are %v", o.proposal.Digest, w.accepted)
	case done.Kind == confirm.Stale && (!followed || isPlan):
		t.Fatalf("%q was reported as stale, but the accepted revisions are %v", o.proposal.Digest, w.accepted)
	case done.Kind == confirm.Unavailable && o.sent:
		t.Fatalf("%q was reported as not written after an unanswered write; the accepted revisions are %v", o.proposal.Digest, w.accepted)
	case done.Kind == confirm.Accepted && done.Document.Revision != o.proposal.Base+1:
		t.Fatalf("%q was reported as revision %d", o.proposal.Digest, done.Document.Revision)
	case done.Kind == confirm.HistoryOverwritten && len(w.accepted) < base+ringSlots:
		t.Fatalf("%q was reported as forgotten, but the accepted revisions are %v", o.proposal.Digest, w.accepted)
	}
}

// checkHistory checks that every revision below the head that is recent enough to
// be in the ring has its entry.
func (w *fakePlatform) checkHistory(t *rapid.T) {
	for i := max(0, len(w.accepted)-ringSlots); i < len(w.accepted)-1; i++ {
		entry := w.ring[(i+1)%ringSlots].doc
		if entry == nil || entry.Revision != uint64(i+1) || entry.PlanDigest != w.accepted[i] {
			t.Fatalf("revision %d of %v has the entry %+v", i+1, w.accepted, entry)
		}
	}
}

// With operators interleaved in any order and any fault at any step, every
// confirmation reports a correct result, and no accepted revision is lost or
// replaced.
func TestInterleavedConfirmations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &fakePlatform{}
		var running []*operator
		for n := range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch pick := rapid.IntRange(0, 9).Draw(t, "pick"); {
			case pick == 0 || len(running) == 0:
				// The base of a plan is the head or up to two revisions older.
				back := rapid.IntRange(0, min(2, len(w.accepted))).Draw(t, "back")
				running = append(running, w.newOperator(n, uint64(len(w.accepted)-back), pick == 0 && n%4 == 0))
			case pick == 1 && len(w.delayed) > 0:
				w.write(w.delayed[0])
				w.delayed = w.delayed[1:]
			case pick == 2:
				// The router stops.
				running = running[1:]
			default:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "operator")
				o := running[i]
				ev := w.answer(t, o.action)
				if _, inDoubt := ev.(confirm.HeadInDoubt); inDoubt {
					o.sent = true
				}
				o.action = o.state.Step(ev)
				if done, ended := o.action.(confirm.Done); ended {
					w.check(t, o, done)
					running = append(running[:i:i], running[i+1:]...)
				}
			}
			w.checkHistory(t)
		}
	})
}
