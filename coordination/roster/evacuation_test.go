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
	for _, name := range dataCentres {
		all[name] = true
	}
	return all
}

// One data centre is evacuated, then a second one; servers join, drain and restart
// meanwhile; and the evacuations are revoked one after the other.
func TestServersOfEvacuatedDataCentreGetNothing(t *testing.T) {
	r := New(DefaultConfig())
	now := time.Unix(1000, 0)
	set := replay(map[string]bool{}, r.Replace(now, []Server{at("east", "e1"), at("east", "e2"), at("west", "w1")}))
	replay(set, r.Evacuate(evacuated("east", "nowhere")))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	replay(set, r.Put(at("east", "e3")))
	draining := at("east", "e1")
	draining.Draining = true
	replay(set, r.Put(draining))
	restarted := at("east", "e2")
	restarted.Incarnation = 7
	replay(set, r.Put(restarted))
	qt.Check(t, set, qt.DeepEquals, evacuated("w1"))
	replay(set, r.Evacuate(evacuated("east", "west")))
	qt.Check(t, set, qt.DeepEquals, evacuated())
	replay(set, r.Evacuate(evacuated("west")))
	qt.Check(t, set, qt.DeepEquals, evacuated("e2", "e3"))
	replay(set, r.Evacuate(nil))
	qt.Check(t, set, qt.DeepEquals, evacuated("e2", "e3", "w1"))
}

// An evacuation stays in force while the store is unavailable, also for servers whose
// entries lapse meanwhile and come back.
func TestEvacuationSurvivesStoreOutage(t *testing.T) {
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
