package roster_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
)

func at(dataCentre, id string) roster.Server {
	return roster.Server{ID: id, Address: "127.0.0.1:1", Service: "app", DataCentre: dataCentre, Slots: 1}
}

func evacuated(dataCentres ...string) map[string]bool {
	all := map[string]bool{}
	for _, one := range dataCentres {
		all[one] = true
	}
	return all
}

// usable replays changes on a set of usable servers.
func usable(set map[string]bool, changes []roster.Change) map[string]bool {
	for _, c := range changes {
		if c.Usable {
			set[c.Server.ID] = true
		} else {
			delete(set, c.Server.ID)
		}
	}
	return set
}

// A data centre is evacuated beside another one, servers join, drain and start
// again meanwhile, and the evacuations are taken back one after the other.
func TestAnEvacuatedDataCentresServersGetNothing(t *testing.T) {
	r := roster.New(roster.DefaultConfig())
	now := time.Unix(1000, 0)
	set := usable(map[string]bool{}, r.Replace(now, []roster.Server{at("east", "e1"), at("east", "e2"), at("west", "w1")}))
	usable(set, r.Evacuate(evacuated("east", "nowhere")))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	usable(set, r.Put(at("east", "e3")))
	draining := at("east", "e1")
	draining.Draining = true
	usable(set, r.Put(draining))
	again := at("east", "e2")
	again.Incarnation = 7
	usable(set, r.Put(again))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	usable(set, r.Evacuate(evacuated("east", "west")))
	qt.Check(t, set, qt.DeepEquals, evacuated())
	usable(set, r.Evacuate(evacuated("west")))
	qt.Check(t, set, qt.DeepEquals, evacuated("e2", "e3"))
	usable(set, r.Evacuate(nil))
	qt.Check(t, set, qt.DeepEquals, evacuated("e2", "e3", "w1"))
}

// The evacuation holds while the store is away, and for servers whose entries
// lapse meanwhile and come back.
func TestAnEvacuationOutlastsAnOutageOfTheStore(t *testing.T) {
	r := roster.New(roster.DefaultConfig())
	now := time.Unix(1000, 0)
	set := usable(map[string]bool{}, r.Replace(now, []roster.Server{at("east", "e1"), at("west", "w1")}))
	usable(set, r.Evacuate(evacuated("east")))
	r.StoreLost()
	usable(set, r.Remove(now, "e1"))
	r.StoreBack(now)
	usable(set, r.Put(at("east", "e1")))
	usable(set, r.Tick(now.Add(time.Minute)))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	usable(set, r.Evacuate(nil))
	qt.Check(t, set, qt.DeepEquals, evacuated("e1", "w1"))
}
