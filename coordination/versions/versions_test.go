package versions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
)

var start = time.Unix(1000, 0)

// A version counts until the horizon after its last server left: streams that began there may
// still come back.
func TestAVersionCountsUntilTheHorizon(t *testing.T) {
	h := New()
	h.Add("app", "v1")
	h.Add("app", "v1")
	qt.Check(t, h.IsMixed(start, "app"), qt.IsFalse)
	h.Add("app", "v2")
	qt.Check(t, h.IsMixed(start, "app"), qt.IsTrue)
	h.Remove(start, "app", "v1")
	qt.Check(t, h.Serving("app"), qt.DeepEquals, []roster.Version{"v1", "v2"})
	h.Remove(start, "app", "v1")
	qt.Check(t, h.Serving("app"), qt.DeepEquals, []roster.Version{"v2"})
	qt.Check(t, h.Recent(start, "app"), qt.DeepEquals, []roster.Version{"v1", "v2"})
	qt.Check(t, h.IsMixed(start.Add(Horizon-1), "app"), qt.IsTrue)
	qt.Check(t, h.IsMixed(start.Add(Horizon), "app"), qt.IsFalse)
	qt.Check(t, h.IsMixed(start, "other"), qt.IsFalse)
}

// Servers whose version is not known yet make a service incomplete until it is, and are then no
// version of their own any more.
func TestUnknownVersionsAreIncomplete(t *testing.T) {
	h := New()
	h.Add("app", "")
	qt.Check(t, h.IsIncomplete(), qt.IsFalse)
	h.Add("app", "v1")
	qt.Check(t, h.IsIncomplete(), qt.IsTrue)
	qt.Check(t, h.IsMixed(start, "app"), qt.IsTrue)
	h.Remove(start, "app", "")
	h.Add("app", "v1")
	qt.Check(t, h.IsIncomplete(), qt.IsFalse)
	qt.Check(t, h.IsMixed(start, "app"), qt.IsFalse)
}

// A version that goes and comes back is one version, and nothing is kept of a service whose
// servers left long ago.
func TestAVersionThatComesBackIsOne(t *testing.T) {
	h := New()
	h.Add("app", "v1")
	h.Remove(start, "app", "v1")
	h.Add("app", "v1")
	qt.Check(t, h.Recent(start, "app"), qt.DeepEquals, []roster.Version{"v1"})
	h.Remove(start, "app", "v1")
	h.Remove(start, "app", "v9")
	h.Tick(start.Add(Horizon))
	qt.Check(t, h.Services(), qt.HasLen, 0)
}

// first is the turn of the router that writes first.
func first(string) int { return 0 }

// A record is written once when a second version serves, again when a third comes, and then at
// intervals while several serve; routers whose turn is later write only if the first does not.
func TestRecordsAreWrittenInTurn(t *testing.T) {
	h, later := New(), New()
	for _, one := range []*History{h, later} {
		one.Add("app", "v1")
		qt.Check(t, one.ToStore(start, first), qt.HasLen, 0)
		one.Add("app", "v2")
	}
	record := h.ToStore(start, first)
	qt.Assert(t, record, qt.DeepEquals, []Served{{Service: "app", Versions: []roster.Version{"v1", "v2"}}})
	third := func(string) int { return 2 }
	qt.Check(t, later.ToStore(start, third), qt.HasLen, 0)
	qt.Check(t, later.ToStore(start.Add(2*storeTurn-1), third), qt.HasLen, 0)
	qt.Check(t, later.ToStore(start.Add(2*storeTurn), third), qt.HasLen, 1)
	for _, one := range []*History{h, later} {
		one.Stored(start, record[0])
		qt.Check(t, one.ToStore(start.Add(storeEvery-1), first), qt.HasLen, 0)
	}
	h.Add("app", "v3")
	qt.Check(t, h.ToStore(start.Add(time.Second), first), qt.HasLen, 1)
	qt.Check(t, later.ToStore(start.Add(storeEvery), first), qt.HasLen, 1)
	// Nothing is written once one version is left.
	later.Remove(start, "app", "v1")
	qt.Check(t, later.ToStore(start.Add(2*storeEvery), first), qt.HasLen, 0)
}

// A router that begins anew knows by the record that there was another version, for a time; one that
// has seen that version leave goes by what it saw.
func TestARecordTellsOfVersionsThatServedBefore(t *testing.T) {
	record := Served{Service: "app", Versions: []roster.Version{"v1", "v2"}}
	h := New()
	h.Add("app", "v2")
	h.Stored(start, record)
	qt.Check(t, h.IsMixed(start.Add(Horizon-1), "app"), qt.IsTrue)
	qt.Check(t, h.Serving("app"), qt.DeepEquals, []roster.Version{"v2"})
	qt.Check(t, h.IsMixed(start.Add(Horizon), "app"), qt.IsFalse)
	seen := New()
	seen.Add("app", "v1")
	seen.Add("app", "v2")
	seen.Remove(start, "app", "v1")
	seen.Stored(start.Add(50*time.Second), record)
	qt.Check(t, seen.IsMixed(start.Add(Horizon), "app"), qt.IsFalse)
}
