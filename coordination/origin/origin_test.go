package origin

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start = time.Unix(1000, 0)
	v1    = Origin{"app", "v1"}
	v2    = Origin{"app", "v2"}
)

func after(d time.Duration) time.Time { return start.Add(d) }

func always(string) bool { return true }
func never(string) bool  { return false }

// An origin is known while the stream runs, however long, and for a time after.
func TestAnOriginIsKeptWhileItsCallerMayComeBack(t *testing.T) {
	table := NewTable(DefaultConfig(), "self")
	table.Began(start, Record{ID: 1, Origin: v1}, false)
	got, known := table.Lookup(after(time.Hour), 1)
	qt.Assert(t, known, qt.IsTrue)
	qt.Check(t, got, qt.Equals, Known{Origin: v1, By: "self", For: time.Hour})
	table.Ended(after(time.Hour), 1)
	_, known = table.Lookup(after(time.Hour+30*time.Second), 1)
	qt.Check(t, known, qt.IsTrue)
	table.Tick(after(time.Hour + 31*time.Second))
	qt.Check(t, table.Len(), qt.Equals, 0)
}

// A stream that two routers relay one after the other, or at once, keeps its origin until the last.
func TestAStreamThatRunsTwiceIsKeptUntilTheLastEnds(t *testing.T) {
	table := NewTable(DefaultConfig(), "self")
	table.Began(start, Record{ID: 1, Origin: v1}, false)
	table.Began(start, Record{ID: 1, Origin: v1}, false)
	table.Ended(start, 1)
	_, known := table.Lookup(after(time.Hour), 1)
	qt.Check(t, known, qt.IsTrue)
}

// Two origins of one stream mean that none is certain, whoever says so, and they are not told.
func TestTwoOriginsAreNone(t *testing.T) {
	table := NewTable(DefaultConfig(), "self")
	table.Told(start, "r1", Record{ID: 1, Origin: v1})
	table.Told(start, "r2", Record{ID: 1, Origin: v1})
	got, _ := table.Lookup(start, 1)
	qt.Check(t, got, qt.Equals, Known{Origin: v1, By: "r1"})
	table.Began(start, Record{ID: 1, Origin: v2}, false)
	got, _ = table.Lookup(start, 1)
	qt.Check(t, got.Uncertain, qt.IsTrue)
	due := table.Due(start, always, false)
	near, far := due.Near, due.Far
	qt.Check(t, near, qt.HasLen, 0)
	qt.Check(t, far, qt.HasLen, 0)
}

// While a service has one version nothing is told; when a second one comes, the streams that run
// are told, those near again and again, those far twice.
func TestOriginsAreToldWhileVersionsAreMixed(t *testing.T) {
	table := NewTable(DefaultConfig(), "self")
	table.Began(start, Record{ID: 1, Origin: v1}, false)
	due := table.Due(start, never, false)
	near, far := due.Near, due.Far
	qt.Check(t, len(near)+len(far), qt.Equals, 0)
	tellings := map[string]int{}
	for ms := 100; ms <= 10_000; ms += 100 {
		due = table.Due(after(time.Duration(ms)*time.Millisecond), always, false)
		near, far = due.Near, due.Far
		tellings["near"] += len(near)
		tellings["far"] += len(far)
		if ms == 100 {
			qt.Check(t, near, qt.DeepEquals, []Record{{ID: 1, Origin: v1}})
			qt.Check(t, far, qt.DeepEquals, []Record{{ID: 1, Origin: v1}})
		}
	}
	qt.Check(t, tellings, qt.DeepEquals, map[string]int{"near": 5, "far": 2})
	table.Ended(after(10*time.Second), 1)
	near = table.Due(after(20*time.Second), always, false).Near
	qt.Check(t, near, qt.HasLen, 0)
}

// A stream whose first event may have come from another process than its server's entry says has no
// certain origin, and others are told so though the service has one version; once the process is
// known, they are told that.
func TestADoubtedOriginIsToldUntilItIsSettled(t *testing.T) {
	table, other := NewTable(DefaultConfig(), "self"), NewTable(DefaultConfig(), "other")
	table.Began(start, Record{ID: 1, Origin: v1, Doubted: true}, false)
	near := table.Due(start, never, false).Near
	qt.Assert(t, near, qt.DeepEquals, []Record{{ID: 1, Origin: v1, Doubted: true}})
	other.Told(start, "self", near[0])
	for _, one := range []*Table{table, other} {
		got, _ := one.Lookup(start, 1)
		qt.Check(t, got.Uncertain, qt.IsTrue)
	}
	table.Settled(1)
	near = table.Due(start, always, false).Near
	qt.Assert(t, near, qt.DeepEquals, []Record{{ID: 1, Origin: v1}})
	other.Told(start, "self", near[0])
	for _, one := range []*Table{table, other} {
		got, _ := one.Lookup(start, 1)
		qt.Check(t, got.Uncertain, qt.IsFalse)
	}
	// A doubt that comes later changes nothing of what is certain.
	other.Told(start, "r3", Record{ID: 1, Origin: v1, Doubted: true})
	got, _ := other.Lookup(start, 1)
	qt.Check(t, got.Uncertain, qt.IsFalse)
}

// A stream of a route with several services is told though each has one version.
func TestOriginsOfSplitRoutesAreTold(t *testing.T) {
	table := NewTable(DefaultConfig(), "self")
	table.Began(start, Record{ID: 1, Origin: v1}, true)
	near := table.Due(start, never, false).Near
	qt.Check(t, near, qt.HasLen, 1)
}

// The table has a bound; what is known already stays.
func TestTheTableIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Max = 2
	table := NewTable(cfg, "self")
	for id := ID(1); id <= 3; id++ {
		table.Told(start, "r1", Record{ID: id, Origin: v1})
	}
	qt.Check(t, table.Len(), qt.Equals, 2)
	_, known := table.Lookup(start, 1)
	qt.Check(t, known, qt.IsTrue)
}

// fleetOf returns the fleet as the router sees it, of routers r0, r1, ... by turns in the data
// centres.
func fleetOf(self, routers, dataCentres int) Fleet {
	var f Fleet
	for n := range routers {
		switch {
		case n == self:
		case n%dataCentres == self%dataCentres:
			f.Near = append(f.Near, fmt.Sprint("r", n))
		default:
			f.Far = append(f.Far, fmt.Sprint("r", n))
		}
	}
	return f
}

// Whichever router began a stream, any other one asks at least one of those that were told, near or
// far, and itself or another one of them when one is gone.
func TestWhoeverAsksReachesThoseThatWereTold(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres int }{{3, 1}, {5, 4}, {30, 3}, {103, 5}, {800, 24}} {
		missed, missedBoth, asked := 0, 0, 0
		const streams = 2000
		for n := range streams {
			id := IDOf(fmt.Sprint("stream", n))
			first, at := n%size.routers, (n*7+1)%size.routers
			near, far := fleetOf(first, size.routers, size.dataCentres).Owners(id)
			told := append(near, far...)
			qt.Assert(t, told, qt.HasLen, 2)
			holders := append(fleetOf(at, size.routers, size.dataCentres).Holders(id), fmt.Sprint("r", at))
			reached := 0
			for _, one := range told {
				for _, holder := range holders {
					if one == holder {
						reached++
					}
				}
			}
			asked += len(holders) - 1
			if reached == 0 {
				missed++
			}
			if reached < 2 && at%size.dataCentres == first%size.dataCentres {
				missedBoth++
			}
		}
		comment := qt.Commentf("%d routers: %d of %d missed, %d not both, %.1f asked", size.routers, missed, streams, missedBoth, float64(asked)/streams)
		qt.Check(t, missed <= streams/100, qt.IsTrue, comment)
		qt.Check(t, missedBoth <= streams/100, qt.IsTrue, comment)
	}
}
