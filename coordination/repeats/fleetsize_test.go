package repeats

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a router that takes the part of others for its own while they are only cut off from
// the store, or while all entries lapsed in an outage and come back one after the other.
func TestFleetSizeFallsLate(t *testing.T) {
	var f FleetSize
	now := time.Unix(1000, 0)
	qt.Check(t, f.Routers(now), qt.Equals, 1)
	f.Registered(now, 5)
	now = now.Add(time.Hour)
	f.Registered(now, 2)
	f.Registered(now.Add(time.Second), 1)
	f.Registered(now.Add(2*time.Second), 3)
	qt.Check(t, f.Routers(now.Add(fleetMemory)), qt.Equals, 5)
	qt.Check(t, f.Routers(now.Add(fleetMemory+time.Second)), qt.Equals, 3)
	f.Registered(now, 8)
	qt.Check(t, f.Routers(now), qt.Equals, 8)
}

// Guards against a router that starts while the entries of the others have lapsed, and takes the whole
// allowance for its own: it counts those of the record in the store until that stops counting.
func TestARouterThatStartsBesideALapsedFleetCountsIt(t *testing.T) {
	now := time.Unix(1000, 0)
	var before FleetSize
	before.Registered(now, 6)
	var f FleetSize
	f.Registered(now, 1)
	f.Stored(now, before.Record(now))
	qt.Check(t, f.Routers(now), qt.Equals, 6)
	qt.Check(t, f.Record(now), qt.Equals, before.Record(now))
	qt.Check(t, f.Routers(now.Add(fleetMemory)), qt.Equals, 1)
	var told FleetSize
	told.Registered(now, 1)
	told.Told(now, f.Record(now))
	qt.Check(t, told.Routers(now), qt.Equals, 6)
	_, due := told.ToStore(now, "self", nil)
	qt.Check(t, due, qt.IsFalse)
	record, due := told.ToStore(now.Add(settleTime), "self", nil)
	qt.Check(t, due, qt.IsTrue, qt.Commentf("what another router told may not be in the store"))
	qt.Check(t, record, qt.Equals, before.Record(now))
	// A smaller number takes nothing back, and what no router writes is not believed.
	f.Stored(now, FleetRecord{Routers: 2, Until: now.Add(fleetMemory)})
	qt.Check(t, f.Routers(now), qt.Equals, 6)
	f.Stored(now, FleetRecord{Routers: 5000, Until: now.Add(time.Hour)})
	qt.Check(t, f.Routers(now), qt.Equals, 6)
}

// Guards against records that routers write over each other's for ever, or that keep a number of routers
// that left long ago: one record is written, renewed before it stops counting, and falls after the memory
// of those that left.
func TestOneRecordOfTheFleetIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	ids := func(n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprint("router-", i))
		}
		return out
	}
	fleet := make([]FleetSize, 6)
	var stored FleetRecord
	writes := 0
	run := func(routers int, span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(500 * time.Millisecond) {
			for i := range routers {
				fleet[i].Registered(now, routers)
				record, due := fleet[i].ToStore(now, ids(routers)[i], ids(routers))
				if !due {
					continue
				}
				writes++
				stored = record
				for j := range routers {
					fleet[j].Stored(now, stored)
				}
			}
		}
	}
	run(6, 5*time.Second)
	qt.Check(t, stored.Routers, qt.Equals, 6)
	qt.Check(t, writes, qt.Equals, 1)
	run(6, time.Hour)
	qt.Check(t, writes <= 1+int(time.Hour/(fleetMemory/2)), qt.IsTrue, qt.Commentf("%d writes", writes))
	qt.Check(t, stored.Until.After(now.Add(fleetMemory/3)), qt.IsTrue)
	run(2, fleetMemory-time.Minute)
	qt.Check(t, stored.Routers, qt.Equals, 6)
	run(2, fleetMemory)
	qt.Check(t, stored.Routers, qt.Equals, 2)
}

// A router does not wait for one that was killed before it wrote the record.
func TestEachRouterWritesTheRecordInTurn(t *testing.T) {
	all := []string{"a", "b", "c"}
	now := time.Unix(1000, 0)
	for _, self := range all {
		var f FleetSize
		f.Registered(now, len(all))
		wrote := false
		for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(100 * time.Millisecond) {
			_, due := f.ToStore(at, self, all)
			wrote = wrote || due
		}
		qt.Check(t, wrote, qt.IsTrue, qt.Commentf("%s", self))
	}
}
