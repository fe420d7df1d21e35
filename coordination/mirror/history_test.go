package mirror

import (
	"maps"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/state/routing"
)

// known is the state that a router builds from changes.
type known struct {
	servers map[string]roster.Server
	routers map[string]Registration
	version uint64
}

func (k *known) apply(d Delta) {
	if d.Config != nil {
		k.version = d.Config.Version
	}
	for _, s := range d.Servers {
		k.servers[s.ID] = s
	}
	for _, id := range d.Removed {
		delete(k.servers, id)
	}
	for _, entry := range d.Invalid {
		delete(k.servers, entry.Server)
	}
	for id, registration := range d.Joined {
		k.routers[id] = registration
	}
	for _, id := range d.Left {
		delete(k.routers, id)
	}
}

func newKnown() *known {
	return &known{servers: map[string]roster.Server{}, routers: map[string]Registration{}}
}

// The merged changes after any revision lead to the same state as the changes one by one;
// after a revision that is no longer covered nothing is returned.
func TestMergedChangesLeadToSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		var h history
		h.restart(10)
		all, states := newKnown(), map[uint64]*known{}
		keep := func(revision uint64) {
			s := newKnown()
			for id, server := range all.servers {
				s.servers[id] = server
			}
			for id, registration := range all.routers {
				s.routers[id] = registration
			}
			s.version = all.version
			states[revision] = s
		}
		keep(10)
		revision := uint64(10)
		for n := range rapid.IntRange(1, 2*maxChanges).Draw(t, "changes") {
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			d := Delta{Revision: revision, Joined: map[string]Registration{}}
			name := names.Draw(t, "name")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				d.Servers = []roster.Server{{ID: name, Slots: n}}
			case 1:
				d.Removed = []string{name}
			case 2:
				d.Joined[name] = Registration{Address: "address", Since: revision}
			case 4:
				d.Invalid = []InvalidEntry{{Server: name, Revision: revision}}
			case 3:
				d.Left = []string{name}
			default:
				d.Config = &routing.Config{Version: revision}
			}
			h.add(d)
			all.apply(d)
			keep(revision)
		}
		from := rapid.SampledFrom(slices.Sorted(maps.Keys(states))).Draw(t, "from")
		d, ok := h.after(from)
		if !ok {
			if from >= h.since {
				t.Fatalf("the history covers the changes after %d but did not return them", from)
			}
			return
		}
		state := states[from]
		if from < revision {
			state.apply(d)
		}
		if !reflect.DeepEqual(state, all) {
			t.Fatalf("after %d: got %+v, want %+v", from, state, all)
		}
	})
}

// A restarted history returns no changes from before the restart.
func TestRestartedHistoryReturnsNothingOld(t *testing.T) {
	var h history
	_, ok := h.after(5)
	qt.Check(t, ok, qt.IsFalse)
	h.restart(7)
	_, ok = h.after(6)
	qt.Check(t, ok, qt.IsFalse)
	h.add(Delta{Revision: 8, Removed: []string{"a"}})
	d, ok := h.after(7)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, d.Removed, qt.DeepEquals, []string{"a"})
	qt.Check(t, d.Revision, qt.Equals, uint64(8))
}

// Guards against routers that learn of the store's changes from others and each write a refused set that
// is there already, or keep one that was removed.
func TestRefusedSetsArePassedOn(t *testing.T) {
	set := func(part partquarantine.Part) partquarantine.Entry {
		return partquarantine.Entry{Parts: []partquarantine.Part{part}}
	}
	id := func(part partquarantine.Part) partquarantine.SetID { return partquarantine.IDOf(set(part).Parts) }
	got := Merge(
		Delta{RefusedParts: []partquarantine.Entry{set(1), set(2)}, ReleasedParts: []partquarantine.SetID{id(3)}, Revision: 1},
		Delta{RefusedParts: []partquarantine.Entry{set(3)}, ReleasedParts: []partquarantine.SetID{id(1)}, Revision: 2},
	)
	qt.Check(t, got.RefusedParts, qt.DeepEquals, []partquarantine.Entry{set(2), set(3)})
	qt.Check(t, got.ReleasedParts, qt.DeepEquals, []partquarantine.SetID{id(1)})
}

// Guards against a router that takes a further version for one at which no stream has begun yet, as the record that
// says otherwise was not among the changes that another router passed on.
func TestRecordsOfVersionsArePassedOn(t *testing.T) {
	var h history
	h.restart(10)
	only := versions.Served{Service: "app", Versions: []roster.Version{"v1", "v2"}, Only: "v1"}
	over := versions.Served{Service: "app", Versions: []roster.Version{"v1", "v2"}}
	h.add(Delta{Revision: 11, Served: []versions.Served{only}})
	h.add(Delta{Revision: 12, Removed: []string{"i-1"}})
	h.add(Delta{Revision: 13, Served: []versions.Served{over}})
	d, isKnown := h.after(10)
	qt.Assert(t, isKnown, qt.IsTrue)
	qt.Check(t, d.Served, qt.DeepEquals, []versions.Served{only, over}, qt.Commentf("the last one counts"))
	qt.Check(t, Merge(Delta{Served: []versions.Served{only}}, Delta{Served: []versions.Served{over}}).Served, qt.DeepEquals, []versions.Served{only, over})
}

// Guards against a process of a router that came and went within changes that are read at once, and whose end nobody
// notices: what only it knew of streams is lost.
func TestMergedChangesNameProcessesThatCameAndWent(t *testing.T) {
	joined := func(life versions.Life) Delta { return Delta{Joined: map[string]Registration{"r": {Life: life}}} }
	for name, one := range map[string]struct {
		changes []Delta
		want    []versions.Life
	}{
		"one joins":                   {[]Delta{joined(1)}, nil},
		"it is told twice":            {[]Delta{joined(1), joined(1)}, nil},
		"another one joins":           {[]Delta{joined(1), joined(2)}, []versions.Life{1}},
		"it leaves":                   {[]Delta{joined(1), {Left: []string{"r"}}}, []versions.Life{1}},
		"it leaves before it joins":   {[]Delta{{Left: []string{"r"}}, joined(2)}, nil},
		"nothing is known of either":  {[]Delta{joined(0), joined(0)}, []versions.Life{0}},
		"three, one after the other":  {[]Delta{joined(1), joined(2), {Left: []string{"r"}}}, []versions.Life{1, 2}},
		"it came and went in a watch": {[]Delta{{Ended: []versions.Life{4}, Joined: joined(5).Joined}}, []versions.Life{4}},
	} {
		m := newMerged()
		for _, d := range one.changes {
			m.add(d)
		}
		qt.Check(t, m.delta().Ended, qt.DeepEquals, one.want, qt.Commentf(name))
	}
}
