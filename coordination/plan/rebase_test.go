package plan_test

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/plan"
	"goldcrestport/state/config"
)

func TestRebaseRefusesWhatBothChanged(t *testing.T) {
	c := qt.New(t)
	mine, newest := base(), base()
	mine.Teams["deeds"] = team(9, "d1", "counsel-llm")
	mine.Drain = []string{"hall-1"}
	newest.Teams["deeds"] = team(7, "d1", "counsel-llm")
	newest.Operators = map[string]string{"ana": "o1", "ben": "o2"}
	_, both := plan.Rebase(base(), mine, newest)
	c.Assert(both, qt.DeepEquals, []string{"team deeds"})
	newest.Teams["deeds"] = mine.Teams["deeds"]
	merged, both := plan.Rebase(base(), mine, newest)
	c.Assert(both, qt.IsNil)
	c.Assert(merged.Teams["deeds"].Share, qt.Equals, 9.0)
	newest.Teams["deeds"] = base().Teams["deeds"]
	newest.Drain = []string{"hall-2", "hall-1"}
	merged, both = plan.Rebase(base(), mine, newest)
	c.Assert(both, qt.IsNil)
	c.Assert(merged.Teams["deeds"].Share, qt.Equals, 9.0)
	c.Assert(merged.Drain, qt.DeepEquals, []string{"hall-1", "hall-2"})
	c.Assert(merged.Operators, qt.HasLen, 2)
}

// drawDocument draws a small document.
func drawDocument(t *rapid.T, label string) *config.Document {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	d := &config.Document{Teams: map[string]config.Team{}, Operators: map[string]string{}}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 5, rapid.ID).Draw(t, label+" teams") {
		d.Teams[name] = team(float64(rapid.IntRange(0, 1).Draw(t, "share")), name)
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 5, rapid.ID).Draw(t, label+" operators") {
		d.Operators[name] = "digest"
	}
	d.Drain = rapid.SliceOfNDistinct(names, 0, 5, rapid.ID).Draw(t, label+" drain")
	d.Evacuate = rapid.SliceOfNDistinct(names, 0, 5, rapid.ID).Draw(t, label+" evacuate")
	return d
}

// Changes that don't conflict can be applied in either order, and neither is
// lost.
func TestRebaseInEitherOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, mine, newest := drawDocument(t, "base"), drawDocument(t, "mine"), drawDocument(t, "newest")
		one, both := plan.Rebase(from, mine, newest)
		other, bothOther := plan.Rebase(from, newest, mine)
		if !reflect.DeepEqual(both, bothOther) || !reflect.DeepEqual(one, other) {
			t.Fatalf("the order matters: %v %v, %v %v", one, both, other, bothOther)
		}
		alone, both := plan.Rebase(from, mine, from)
		if both != nil || !reflect.DeepEqual(alone, mine.Content()) {
			t.Fatalf("on its own base %v became %v", mine.Content(), alone)
		}
		if one != nil {
			for name, want := range mine.Teams {
				if old, known := from.Teams[name]; (!known || !reflect.DeepEqual(old, want)) && one.Teams[name].Share != want.Share {
					t.Fatalf("team %s of mine is lost", name)
				}
			}
		}
	})
}
