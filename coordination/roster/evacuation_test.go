package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func at(dataCentre, id string) Server {
	return Server{ID: id, Address: "127.0.0.1:1", Service: "app", DataCentre: dataCentre, Slots: 1}
}

func evacuated(dataCentres ...string) map[string]bool {
	all := map[string]bool{}
	for _, one := range dataCentres {
		all[one] = true
	}
	return all
}

// A data centre is evacuated beside another one, servers join, drain and start
// again meanwhile, and the evacuations are taken back one after the other.
func TestAnEvacuatedDataCentresServersGetNothing(t *testing.T) {
	r := New(DefaultConfig())
	now := time.Unix(1000, 0)
	set := replay(map[string]bool{}, r.Replace(now, []Server{at("east", "e1"), at("east", "e2"), at("west", "w1")}))
	replay(set, r.Evacuate(evacuated("east", "nowhere")))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	replay(set, r.Put(at("east", "e3")))
	draining := at("east", "e1")
	draining.Draining = true
	replay(set, r.Put(draining))
	again := at("east", "e2")
	again.Incarnation = 7
	replay(set, r.Put(again))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	replay(set, r.Evacuate(evacuated("east", "west")))
	qt.Check(t, set, qt.DeepEquals, evacuated())
	replay(set, r.Evacuate(evacuated("west")))
	qt.Check(t, set, qt.DeepEquals, evacuated("e2", "e3"))
	replay(set, r.Evacuate(nil))
	qt.Check(t, set, qt.DeepEquals, evacuated("e2", "e3", "w1"))
}

// The evacuation holds while the store is away, and for servers whose entries
// lapse meanwhile and come back.
func TestAnEvacuationOutlastsAnOutageOfTheStore(t *testing.T) {
	r := New(DefaultConfig())
	now := time.Unix(1000, 0)
	set := replay(map[string]bool{}, r.Replace(now, []Server{at("east", "e1"), at("west", "w1")}))
	replay(set, r.Evacuate(evacuated("east")))
	r.StoreLost()
	replay(set, r.Remove(now, "e1"))
	r.StoreBack(now)
	replay(set, r.Put(at("east", "e1")))
	replay(set, r.Tick(now.Add(time.Minute)))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	replay(set, r.Evacuate(nil))
	qt.Check(t, set, qt.DeepEquals, evacuated("e1", "w1"))
}
