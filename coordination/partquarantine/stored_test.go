package partquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/turns"
)

const storedTTL = 10 * time.Minute

// refusing returns the states of some routers, each of which refuses the set.
func refusing(now time.Time, routers int, parts []Part) []*State {
	var ids []string
	for i := range routers {
		ids = append(ids, fmt.Sprint("r", i))
	}
	var out []*State
	for _, id := range ids {
		s := New(DefaultConfig(), id)
		s.SetRouters(ids)
		s.Merge(now, Report{Refusals: []RefusalReport{{Parts: parts, Servers: []string{"i-1"}}}})
		out = append(out, s)
	}
	return out
}

// sortedParts returns the parts as a set has them.
func sortedParts(parts []Part) []Part { return slices.Sorted(slices.Values(parts)) }

// toStore returns the entries of all routers at the time.
func toStore(now time.Time, states []*State) (out []Entry) {
	for _, s := range states {
		out = append(out, s.ToStore(now, storedTTL)...)
	}
	return out
}

var badSet = []Part{PartOf("app", 1), PartOf("app", 2)}

// Guards against a refused set that nobody writes to the store, since the one router that should has
// been killed, and against one that each of many routers writes.
func TestRoutersWriteARefusedSetInTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	parts := sortedParts(badSet)
	states := refusing(now, 5, parts)
	qt.Check(t, toStore(now, states), qt.HasLen, 1)
	qt.Check(t, toStore(now.Add(turns.Step), states), qt.HasLen, 2)
	entry := toStore(now, states)[0]
	for _, s := range states {
		s.Stored(now, []Entry{entry}, true)
	}
	qt.Check(t, toStore(now.Add(time.Minute), states), qt.HasLen, 0)
	later := now.Add(storedTTL / 2)
	qt.Check(t, toStore(later, states), qt.HasLen, 1)
	states[0].WasRemoved(IDOf(parts))
	qt.Check(t, toStore(later.Add(5*turns.Step), states[:1]), qt.HasLen, 1)
}

// Guards against refused parts that end with the routers: a router that begins refuses what the store
// has, and goes on with the number of probes that were sent.
func TestARouterThatBeginsRefusesWhatTheStoreHas(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(DefaultConfig(), "r0")
	s.Stored(now, []Entry{{Parts: sortedParts(badSet), Since: now.Add(-time.Hour), Probes: 1, Partial: 1}}, false)
	both := []admission.Prefix{{ID: 1}, {ID: 2}}
	qt.Check(t, s.Check(now, "app", "class", both).Verdict, qt.Equals, Pass)
	run := begin(s, "i-1", "app", both)
	qt.Check(t, run.Probing(), qt.HasLen, 2)
	// The second probe was the last one, and the store is to know that.
	qt.Check(t, s.Check(now, "app", "class", both).Verdict, qt.Equals, Refuse)
	qt.Check(t, s.ToStore(now, storedTTL)[0].Probes, qt.Equals, 2)
	qt.Check(t, s.Check(now, "app", "class", both[:1]).Verdict, qt.Equals, Refuse)
	qt.Check(t, s.Check(now, "other", "class", both).Verdict, qt.Equals, Pass)
}

// Guards against wrong refusals that come back from the store: a set whose parts were cleared is
// removed from it, and who has read it meanwhile is told that they are harmless.
func TestAClearedSetLeavesTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	parts := sortedParts(badSet)
	states := refusing(now, 2, parts)
	entry := toStore(now, states)[0]
	for _, s := range states {
		s.Stored(now, []Entry{entry}, true)
		for _, p := range parts {
			s.Release(now, p)
		}
		s.UnsentReports(now)
	}
	removed := append(states[0].ToRemove(now), states[1].ToRemove(now)...)
	qt.Check(t, removed, qt.DeepEquals, []SetID{IDOf(parts)})
	late := New(DefaultConfig(), "late")
	late.Stored(now, []Entry{entry}, false)
	qt.Check(t, late.RefusedCount(), qt.Equals, 1)
	for _, report := range late.UnsentReports(now) {
		states[0].Merge(now, report)
	}
	for _, report := range states[0].UnsentReports(now) {
		late.Merge(now, report)
	}
	qt.Check(t, late.RefusedCount(), qt.Equals, 0)
	qt.Check(t, states[0].RefusedCount(), qt.Equals, 0)
}

// Guards against a wrong refusal that comes back from a router that read it in the store: a router that
// began alone, saw no crash and cleared the set had nothing left to remember it by.
func TestAClearedSetIsNotRefusedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	parts := sortedParts(badSet)
	entry := Entry{Parts: parts, Since: now}
	s, late := New(DefaultConfig(), "r0"), New(DefaultConfig(), "late")
	s.Stored(now, []Entry{entry}, false)
	for _, p := range parts {
		s.Release(now, p)
	}
	s.UnsentReports(now)
	for range 3 {
		now = now.Add(time.Minute)
		s.Tick(now)
		late.Stored(now, []Entry{entry}, false)
		for _, report := range late.PeriodicReports(now) {
			s.Merge(now, report)
		}
		qt.Check(t, s.RefusedCount(), qt.Equals, 0)
		for _, report := range s.UnsentReports(now) {
			late.Merge(now, report)
		}
		qt.Check(t, late.RefusedCount(), qt.Equals, 0)
	}
	now = now.Add(DefaultConfig().CrashTTL)
	s.Tick(now)
	qt.Check(t, s.harmless, qt.HasLen, 0)
}

// Guards against memory that grows with what other writers of the store enter.
func TestStoredSetsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(DefaultConfig(), "r0")
	for n := range 10 * DefaultConfig().MaxRefusals {
		s.Stored(now, []Entry{{Parts: []Part{Part(n + 1)}, Since: now}}, true)
	}
	qt.Check(t, s.RefusedCount(), qt.Equals, DefaultConfig().MaxRefusals)
	qt.Check(t, len(s.stored) <= 2*DefaultConfig().MaxRefusals, qt.IsTrue)
}

// BenchmarkToStore measures the look for what is to be written, with all refused sets in the store, in
// a fleet of 800 routers.
func BenchmarkToStore(b *testing.B) {
	now := time.Unix(1000, 0)
	var ids []string
	for n := range 800 {
		ids = append(ids, fmt.Sprint("r", n))
	}
	s := New(DefaultConfig(), "r0")
	s.SetRouters(ids)
	for n := range DefaultConfig().MaxRefusals {
		s.Stored(now, []Entry{{Parts: []Part{Part(n + 1)}, Since: now}}, true)
	}
	for b.Loop() {
		s.ToStore(now, storedTTL)
		s.ToRemove(now)
	}
}
