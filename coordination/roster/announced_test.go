package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server says in an answer that it leaves: whatever its entries say before and
// after, and whatever the store forgets, it gets nothing more, and a later process
// under its id does.
func TestAServerThatSaysThatItLeavesIsNotBroughtBack(t *testing.T) {
	for name, tc := range map[string]struct {
		incarnation Incarnation
		steps       func(r *Roster)
	}{
		"its entry is read anew":  {100, func(r *Roster) { r.Put(entryOf(100, false)) }},
		"one without incarnation": {0, func(r *Roster) { r.Put(entryOf(0, false)) }},
		"a whole listing":         {0, func(r *Roster) { r.Replace(start, []Server{entryOf(0, false)}) }},
		"it lapses and comes back": {0, func(r *Roster) {
			r.StoreLost()
			r.Remove(start, "a")
			r.StoreBack(start)
			r.Put(entryOf(0, false))
		}},
		"the same, long after the store is back": {0, func(r *Roster) {
			r.Remove(start, "a")
			r.Tick(start)
			r.Tick(after(50 * time.Second))
			r.Put(entryOf(0, false))
		}},
		"its entry is spoilt and mended": {100, func(r *Roster) {
			r.Invalidate("a")
			r.Put(entryOf(100, false))
		}},
		"its data centre is evacuated and taken back": {0, func(r *Roster) {
			r.Evacuate(map[string]bool{"": true})
			r.Evacuate(nil)
		}},
		"another router says so too, and the word ends": {0, func(r *Roster) {
			r.Told(start, "a", 0)
			r.Tick(after(time.Hour))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(DefaultConfig())
			set := replay(map[string]bool{}, r.Put(entryOf(tc.incarnation, false)))
			replay(set, r.Announced("a", tc.incarnation))
			qt.Check(t, set, qt.HasLen, 0)
			tc.steps(r)
			qt.Check(t, r.Has("a"), qt.IsFalse)
			qt.Check(t, one(r.Put(entryOf(200, false))), qt.Equals, ReasonJoined)
		})
	}
}

// replay follows which servers are usable.
func replay(set map[string]bool, changes []Change) map[string]bool {
	for _, c := range changes {
		if c.Usable {
			set[c.Server.ID] = true
		} else {
			delete(set, c.Server.ID)
		}
	}
	return set
}

// What an earlier process said does not hold for the later one, and what is said by a
// server whose entry is gone holds when the entry comes back.
func TestWhatAServerSaysIsOfItsProcess(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(entryOf(200, false))
	qt.Check(t, r.Announced("a", 100), qt.HasLen, 0)
	qt.Check(t, r.Has("a"), qt.IsTrue)
	qt.Check(t, r.Told(start, "a", 100), qt.HasLen, 0)
	r.Remove(start, "a")
	qt.Check(t, r.Announced("a", 200), qt.HasLen, 0)
	r.Put(entryOf(200, false))
	qt.Check(t, r.Has("a"), qt.IsFalse)
	// The others, which see the entry come back, are told.
	qt.Check(t, r.Leaving(), qt.HasLen, 1)
}

// A router tells the others what it heard itself, and not what they told it; it stops
// when the server's entry is gone.
func TestOnlyWhatWasHeardIsTold(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(entryOf(100, false))
	r.Told(start, "a", 100)
	qt.Check(t, r.Leaving(), qt.HasLen, 0)
	r.Announced("a", 100)
	qt.Check(t, r.Leaving(), qt.HasLen, 1)
	r.Remove(start, "a")
	qt.Check(t, r.Leaving(), qt.HasLen, 0)
	// Its entry is written late: the others may not know any more.
	r.Put(entryOf(100, false))
	qt.Check(t, r.Leaving(), qt.HasLen, 1)
	r.Put(entryOf(200, false))
	qt.Check(t, r.Leaving(), qt.HasLen, 0)
}

// Another router's word keeps a server from work for a time and once, so that a wrong
// one, repeated for ever, costs no more.
func TestAnotherRoutersWordIsBelievedForATime(t *testing.T) {
	cfg := DefaultConfig()
	r := New(cfg)
	r.Put(entryOf(100, false))
	qt.Check(t, one(r.Told(start, "a", 100)), qt.Equals, ReasonTold)
	qt.Check(t, r.Put(entryOf(100, false)), qt.HasLen, 0)
	qt.Check(t, r.Tick(after(cfg.WordTime-time.Millisecond)), qt.HasLen, 0)
	r.Told(after(cfg.WordTime-time.Millisecond), "a", 100)
	qt.Check(t, one(r.Tick(after(cfg.WordTime))), qt.Equals, ReasonUnconfirmed)
	qt.Check(t, r.Told(after(cfg.WordTime), "a", 100), qt.HasLen, 0)
	qt.Check(t, one(r.Announced("a", 100)), qt.Equals, ReasonAnnounced)
}
