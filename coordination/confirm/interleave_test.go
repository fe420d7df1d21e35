package confirm_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"goldcrestport/coordination/confirm"
	"goldcrestport/state/config"
)

// ringSlots is small, so that entries are overwritten within a test.
const ringSlots = 4

// cell is one key of the platform.
type cell struct {
	doc     *config.Document
	version uint64
}

// world is the platform and the writes that are still on their way to it.
type world struct {
	head    cell
	ring    [ringSlots]cell
	version uint64
	late    []confirm.Action
	// line holds the digest of each revision that the head ever had.
	line []string
}

// write performs a compare-and-swap and reports whether it took effect.
func (w *world) write(a confirm.Action) bool {
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
		w.line = append(w.line, doc.PlanDigest)
	}
	return true
}

// answer performs the action with a drawn fault and returns its event.
func (w *world) answer(t *rapid.T, action confirm.Action) confirm.Event {
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
		if w.faulty(fault, action) || !w.write(action) {
			return confirm.EntryInDoubt{}
		}
		return confirm.EntryWritten{}
	default:
		if fault == "refused" {
			return confirm.HeadRefused{}
		}
		if w.faulty(fault, action) {
			return confirm.HeadInDoubt{}
		}
		if !w.write(action) {
			return confirm.HeadConflict{}
		}
		return confirm.HeadWritten{}
	}
}

// faulty applies a fault after which the writer knows nothing.
func (w *world) faulty(fault string, action confirm.Action) bool {
	switch fault {
	case "lost before":
	case "lost after":
		w.write(action)
	case "late":
		w.late = append(w.late, action)
	default:
		return false
	}
	return true
}

// operator is one confirmation under way.
type operator struct {
	proposal confirm.Proposal
	state    *confirm.State
	action   confirm.Action
	// sent tells that a write of the head left for the platform.
	sent bool
}

func (w *world) newOperator(n int, base uint64, lookUp bool) *operator {
	// Some operators confirm the same plan at once.
	digest := fmt.Sprintf("%d-%d", base, n%3)
	p := confirm.Proposal{Base: base, Digest: digest, Attempts: 4}
	if !lookUp {
		p.Next = &config.Document{Drain: []string{digest}}
	}
	s := confirm.New(p)
	return &operator{proposal: p, state: s, action: s.Step(confirm.Started{})}
}

// check compares what an operator is told with the line.
func (w *world) check(t *rapid.T, o *operator, done confirm.Done) {
	base := int(o.proposal.Base)
	followed := len(w.line) > base
	mine := followed && w.line[base] == o.proposal.Digest
	switch {
	case done.Kind == confirm.Accepted && !mine:
		t.Fatalf("told %q is accepted, the line is %v", o.proposal.Digest, w.line)
	case done.Kind == confirm.Stale && (!followed || mine):
		t.Fatalf("told %q is stale, the line is %v", o.proposal.Digest, w.line)
	case done.Kind == confirm.Unavailable && o.sent:
		t.Fatalf("told that nothing was written of %q, the line is %v", o.proposal.Digest, w.line)
	case done.Kind == confirm.Accepted && done.Document.Revision != o.proposal.Base+1:
		t.Fatalf("told %q is revision %d", o.proposal.Digest, done.Document.Revision)
	case done.Kind == confirm.Forgotten && len(w.line) < base+ringSlots:
		t.Fatalf("told %q is forgotten, the line is %v", o.proposal.Digest, w.line)
	}
}

// checkHistory: every revision below the head that the ring still reaches has
// its entry.
func (w *world) checkHistory(t *rapid.T) {
	for i := max(0, len(w.line)-ringSlots); i < len(w.line)-1; i++ {
		entry := w.ring[(i+1)%ringSlots].doc
		if entry == nil || entry.Revision != uint64(i+1) || entry.PlanDigest != w.line[i] {
			t.Fatalf("revision %d of %v has the entry %+v", i+1, w.line, entry)
		}
	}
}

// Operators interleaved in any order, with any fault at any step, are told
// nothing false, and no accepted revision is lost or replaced.
func TestInterleavedConfirmations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		var running []*operator
		for n := range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch pick := rapid.IntRange(0, 9).Draw(t, "pick"); {
			case pick == 0 || len(running) == 0:
				// Plans are against the head or somewhat older.
				back := rapid.IntRange(0, min(2, len(w.line))).Draw(t, "back")
				running = append(running, w.newOperator(n, uint64(len(w.line)-back), pick == 0 && n%4 == 0))
			case pick == 1 && len(w.late) > 0:
				w.write(w.late[0])
				w.late = w.late[1:]
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
