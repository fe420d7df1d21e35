package config_test

import (
	"encoding/json"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/state/config"
)

// document generates a small document from few names, so that two generated
// documents often overlap.
func document(t *rapid.T, label string) *config.Document {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	lists := rapid.SliceOfN(names, 0, 3)
	teams := rapid.MapOfN(names, rapid.Custom(func(t *rapid.T) config.Team {
		return config.Team{
			Share:    float64(rapid.IntRange(0, 2).Draw(t, "share")),
			Tokens:   lists.Draw(t, "tokens"),
			Services: lists.Draw(t, "services"),
		}
	}), 0, 4)
	services := rapid.MapOfN(names, rapid.Custom(func(t *rapid.T) config.Service {
		return config.Service{Kind: config.KindModel, NonIdempotent: lists.Draw(t, "paths")}
	}), 0, 4)
	return &config.Document{
		Teams:     teams.Draw(t, label+" teams"),
		Services:  services.Draw(t, label+" services"),
		Drain:     lists.Draw(t, label+" drain"),
		Evacuate:  lists.Draw(t, label+" evacuate"),
		Operators: rapid.MapOfN(names, names, 0, 3).Draw(t, label+" operators"),
	}
}

func TestPatchAppliesAndReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := document(t, "a"), document(t, "b")
		forward, backward := config.Between(a, b), config.Between(b, a)
		stored, err := json.Marshal(backward)
		if err != nil {
			t.Fatal(err)
		}
		var read config.Patch
		if err := json.Unmarshal(stored, &read); err != nil {
			t.Fatal(err)
		}
		// Compares contents independently of Equal, which is itself based on patches.
		if !reflect.DeepEqual(forward.Apply(a), b.Content()) || !reflect.DeepEqual(read.Apply(b), a.Content()) {
			t.Fatalf("patch does not reproduce the document: forward %+v backward %+v", forward, backward)
		}
		if same := reflect.DeepEqual(a.Content(), b.Content()); forward.Empty() != same || config.Equal(a, b) != same {
			t.Fatal("an empty patch must mean equal documents")
		}
	})
}

func TestPlanDigest(t *testing.T) {
	c := qt.New(t)
	a := &config.Document{Teams: map[string]config.Team{"x": {Share: 1, Services: []string{"s", "r"}}}}
	same := &config.Document{
		Revision: 9,
		Teams:    map[string]config.Team{"x": {Share: 1, Services: []string{"r", "s", "r"}}},
		Drain:    []string{},
	}
	of := func(base uint64, d *config.Document) string {
		digest, err := config.PlanDigest(base, d)
		c.Assert(err, qt.IsNil)
		return digest
	}
	c.Assert(of(4, a), qt.Equals, of(4, same))
	c.Assert(of(4, a), qt.Not(qt.Equals), of(5, a))
	same.Teams["x"] = config.Team{Share: 2, Services: []string{"r", "s"}}
	c.Assert(of(4, a), qt.Not(qt.Equals), of(4, same))
}
