package origin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// journalLoad is a fleet whose routers begin streams at a rate while versions are mixed.
type journalLoad struct {
	routers int
	rate    int
}

// play runs the journal of one router for a minute and returns its writes, the bytes of the records in
// them, and the longest time from a stream's first event until the store has it.
func (l journalLoad) play() (writes, records int, latest time.Duration) {
	j := NewJournal(DefaultJournalConfig(), 1)
	began := map[ID]time.Time{}
	id := ID(0)
	for ms := 0; ms < 60_000; ms += 10 {
		now := after(time.Duration(ms) * time.Millisecond)
		for range l.rate / 100 {
			id++
			began[id] = now
			j.Add([]Record{{ID: id, Origin: v1}})
		}
		s, due := j.Due(now, l.routers)
		if !due {
			continue
		}
		writes++
		records += len(s.Records)
		for _, r := range s.Records {
			if at, open := began[r.ID]; open {
				latest = max(latest, now.Sub(at))
				delete(began, r.ID)
			}
		}
		j.Written(now, s)
	}
	return writes, records, latest
}

// The load of a fleet whose routers each begin a hundred streams a second while versions are mixed:
// the store has each origin after one interval, the fleet's writes stay within their bound at each
// size, and a fleet too large for that writes nothing.
func TestTheJournalIsWrittenAtABoundedRate(t *testing.T) {
	for _, l := range []journalLoad{{3, 100}, {5, 100}, {12, 100}, {16, 100}} {
		writes, records, latest := l.play()
		perSecond := float64(writes*l.routers) / 60
		comment := qt.Commentf("%d routers: %.2f writes a second, %d records in %d, latest %v", l.routers, perSecond, records, writes, latest)
		qt.Check(t, perSecond <= DefaultJournalConfig().WritesPerSecond+.5, qt.IsTrue, comment)
		qt.Check(t, latest <= DefaultJournalConfig().MaxInterval+50*time.Millisecond, qt.IsTrue, comment)
	}
	writes, _, _ := journalLoad{17, 100}.play()
	qt.Check(t, writes, qt.Equals, 0)
}

// Without a stream to tell, as while each service has one version, nothing is written.
func TestAnEmptyJournalWritesNothing(t *testing.T) {
	j := NewJournal(DefaultJournalConfig(), 1)
	_, due := j.Due(start, 3)
	qt.Check(t, due, qt.IsFalse)
	_, due = j.Last(start, 3)
	qt.Check(t, due, qt.IsFalse)
}

// What a write that failed held is written again, and what came meanwhile with it; the entry is the
// same one until it is complete.
func TestAFailedWriteIsRepeated(t *testing.T) {
	j := NewJournal(DefaultJournalConfig(), 7)
	j.Add([]Record{{ID: 1, Origin: v1}})
	first, due := j.Due(start, 3)
	qt.Assert(t, due, qt.IsTrue)
	qt.Check(t, first, qt.DeepEquals, Segment{Number: 7, Records: []Record{{ID: 1, Origin: v1}}, IsFirst: true})
	j.Add([]Record{{ID: 2, Origin: v2}})
	_, due = j.Due(after(300*time.Millisecond), 3)
	qt.Check(t, due, qt.IsFalse)
	second, due := j.Due(after(time.Second), 3)
	qt.Assert(t, due, qt.IsTrue)
	qt.Check(t, second.Records, qt.HasLen, 2)
	qt.Check(t, second.IsFirst, qt.IsTrue)
	j.Written(after(time.Second), second)
	_, due = j.Due(after(3*time.Second), 3)
	qt.Check(t, due, qt.IsFalse)
	j.Add([]Record{{ID: 3, Origin: v1}})
	third, due := j.Due(after(6*time.Second), 3)
	qt.Assert(t, due, qt.IsTrue)
	qt.Check(t, third, qt.DeepEquals, Segment{Number: 7, Records: []Record{{ID: 1, Origin: v1}, {ID: 2, Origin: v2}, {ID: 3, Origin: v1}}})
	j.Written(after(6*time.Second), third)
	j.Add([]Record{{ID: 4, Origin: v1}})
	last, due := j.Last(after(6*time.Second), 3)
	qt.Assert(t, due, qt.IsTrue)
	qt.Check(t, last, qt.DeepEquals, Segment{Number: 8, Records: []Record{{ID: 4, Origin: v1}}, IsFirst: true})
}

// While the store takes nothing, the journal stays within its limit and keeps the newest records.
func TestTheJournalIsBounded(t *testing.T) {
	cfg := DefaultJournalConfig()
	cfg.MaxRecords = 3
	j := NewJournal(cfg, 1)
	for id := ID(1); id <= 10; id++ {
		j.Add([]Record{{ID: id, Origin: v1}})
	}
	s, _ := j.Due(start, 3)
	qt.Check(t, s.Records, qt.DeepEquals, []Record{{ID: 8, Origin: v1}, {ID: 9, Origin: v1}, {ID: 10, Origin: v1}})
}

// A record of the store that is read again and again lives no longer for it, and one that contradicts
// what is known makes the origin uncertain.
func TestARecordOfTheStoreDoesNotProlongALife(t *testing.T) {
	table := NewTable(DefaultConfig(), "self")
	for s := range 30 {
		table.Stored(after(time.Duration(s)*time.Second), "r1", Record{ID: 1, Origin: v1})
	}
	_, known := table.Lookup(after(29*time.Second), 1)
	qt.Check(t, known, qt.IsTrue)
	_, known = table.Lookup(after(31*time.Second), 1)
	qt.Check(t, known, qt.IsFalse)
	table.Began(after(40*time.Second), Record{ID: 2, Origin: v1}, false)
	table.Stored(after(40*time.Second), "r1", Record{ID: 2, Origin: v2})
	got, _ := table.Lookup(after(41*time.Second), 2)
	qt.Check(t, got.Uncertain, qt.IsTrue)
}

// A router that ends informs all others of a small fleet, and in a large one two that are asked.
func TestHeirsAreAsked(t *testing.T) {
	small := fleetOf(0, 5, 4)
	qt.Check(t, small.Heirs(1), qt.HasLen, 4)
	for n := range 200 {
		id := ID(n * 7919)
		heirs := fleetOf(3, 103, 5).Heirs(id)
		qt.Check(t, heirs, qt.HasLen, 2)
		asked := append(fleetOf(8, 103, 5).Holders(id), "r8")
		reached := false
		for _, one := range asked {
			reached = reached || one == heirs[0] || one == heirs[1]
		}
		qt.Check(t, reached, qt.IsTrue)
	}
}
