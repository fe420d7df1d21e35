package origin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stream that broke off while its service had one version, and that nobody else is told
// of when a second one appears: its caller is refused for good once the first router is killed.
func TestAStreamThatEndedBeforeTheSecondVersionIsTold(t *testing.T) {
	table := NewTable(DefaultConfig(), "self")
	table.Began(start, Record{ID: 1, Origin: v1}, false)
	table.Due(start, never, true)
	table.Ended(after(time.Second), 1)
	var told, stored int
	for ms := 2000; ms <= 4000; ms += 100 {
		due := table.Due(after(time.Duration(ms)*time.Millisecond), always, true)
		told, stored = told+len(due.Far), stored+len(due.Store)
	}
	_, known := table.Lookup(after(4*time.Second), 1)
	qt.Assert(t, known, qt.IsTrue)
	qt.Check(t, told > 0, qt.IsTrue, qt.Commentf("told %d times", told))
	qt.Check(t, stored, qt.Equals, 1)
}

// Guards against a stream that still runs, or ended lately, and whose entry of the store has lapsed: it
// is written once, when it begins.
func TestTheStoreHasAStreamForAsLongAsItRuns(t *testing.T) {
	table, life := NewTable(DefaultConfig(), "self"), DefaultJournalConfig().Life
	table.Began(start, Record{ID: 1, Origin: v1}, false)
	var written time.Time
	for s := range 120 {
		now := after(time.Duration(s) * time.Second)
		if len(table.Due(now, always, true).Store) > 0 {
			written = now
		}
		if age := now.Sub(written); age >= life {
			t.Fatalf("after %d s the store has had nothing of the running stream for %v", s, age-life)
		}
	}
}

// Guards against records that never end where routers are restarted again and again: each hands over
// what it was handed, and that counts as a new announcement.
func TestAnEndedStreamIsForgottenThoughRoutersAreRestarted(t *testing.T) {
	table := NewTable(DefaultConfig(), "r0")
	table.Began(start, Record{ID: 1, Origin: v1}, false)
	table.Ended(start, 1)
	for restart := 1; restart <= 30; restart++ {
		now := after(time.Duration(restart) * 20 * time.Second)
		next := NewTable(DefaultConfig(), "next")
		for _, one := range table.All(now) {
			next.Told(now, "former", one)
		}
		table = next
	}
	_, known := table.Lookup(after(10*time.Minute), 1)
	qt.Check(t, known, qt.IsFalse)
}

// Guards against two origins of one stream that a router forgets as it ends: one that is handed over or
// stored by another router is then taken for certain.
func TestAConflictOutlivesTheRouterThatKnowsIt(t *testing.T) {
	a, b, heir := NewTable(DefaultConfig(), "a"), NewTable(DefaultConfig(), "b"), NewTable(DefaultConfig(), "heir")
	a.Began(start, Record{ID: 1, Origin: v1}, false)
	due := a.Due(start, always, true)
	for _, one := range due.Far {
		b.Told(start, "a", one)
	}
	b.Began(start, Record{ID: 1, Origin: v2}, false)
	got, _ := b.Lookup(start, 1)
	qt.Assert(t, got.Conflicting, qt.IsTrue)
	for _, one := range b.Due(start, always, true).Store {
		heir.Stored(after(time.Second), "b", one)
	}
	for _, one := range due.Store {
		heir.Stored(after(time.Second), "a", one)
	}
	for _, one := range b.All(after(time.Second)) {
		heir.Told(after(time.Second), "b", one)
	}
	got, known := heir.Lookup(after(time.Second), 1)
	qt.Check(t, known && !got.Uncertain, qt.IsFalse, qt.Commentf("certain: %+v", got))
}
