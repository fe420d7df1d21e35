package mirror

import (
	"maps"
	"slices"

	"goldcrestport/coordination/roster"
)

// keptChanges bounds the changes that are kept for other routers: at ten
// changes a second they reach back for half a minute.
const keptChanges = 300

// history holds the newest changes of the store, so that another router gets
// what it lacks and not everything there is. Invariant: each change is the one
// after the one before it.
type history struct {
	// since is the revision after which every change is here; 0: none is.
	since   uint64
	changes []Delta
}

// restart forgets everything before the revision.
func (h *history) restart(revision uint64) {
	h.since, h.changes = revision, nil
}

// add appends what changed last.
func (h *history) add(d Delta) {
	h.changes = append(h.changes, d)
	if excess := len(h.changes) - keptChanges; excess > 0 {
		h.since = h.changes[excess-1].Revision
		h.changes = slices.Delete(h.changes, 0, excess)
	}
}

// after returns what changed after the revision as one change. It reports false
// when that is not known any more.
func (h *history) after(revision uint64) (Delta, bool) {
	if h.since == 0 || revision < h.since {
		return Delta{}, false
	}
	m := merged{
		servers: map[string]roster.Server{}, removed: map[string]bool{}, invalid: map[string]InvalidEntry{},
		joined: map[string]Registration{}, left: map[string]bool{}, evacuated: map[string]bool{},
	}
	for _, d := range h.changes {
		if d.Revision > revision {
			m.add(d)
		}
	}
	return m.delta(), true
}

// merged is the sum of changes: the last one of each key counts.
type merged struct {
	last    Delta
	servers map[string]roster.Server
	removed map[string]bool
	// invalid holds the entries that cannot be used by their keys, servers' ones
	// by the servers' ids.
	invalid map[string]InvalidEntry
	joined  map[string]Registration
	left    map[string]bool
	// evacuated tells of each data centre that changed whether it is.
	evacuated map[string]bool
}

func (m *merged) add(d Delta) {
	if d.Config != nil {
		m.last.Config = d.Config
	}
	m.last.Revision = d.Revision
	for _, s := range d.Servers {
		m.servers[s.ID] = s
		delete(m.removed, s.ID)
		delete(m.invalid, s.ID)
	}
	for _, id := range d.Removed {
		delete(m.servers, id)
		delete(m.invalid, id)
		m.removed[id] = true
	}
	for _, one := range d.Invalid {
		delete(m.servers, one.Server)
		m.invalid[one.Name()] = one
	}
	for id, one := range d.Joined {
		m.joined[id] = one
		delete(m.left, id)
	}
	for _, id := range d.Left {
		delete(m.joined, id)
		m.left[id] = true
	}
	for _, dataCentre := range d.Evacuated {
		m.evacuated[dataCentre] = true
	}
	for _, dataCentre := range d.Returned {
		m.evacuated[dataCentre] = false
	}
}

func (m *merged) delta() Delta {
	m.last.Servers = slices.Collect(maps.Values(m.servers))
	m.last.Invalid = slices.Collect(maps.Values(m.invalid))
	m.last.Removed = slices.Sorted(maps.Keys(m.removed))
	m.last.Joined = m.joined
	m.last.Left = slices.Sorted(maps.Keys(m.left))
	for dataCentre, evacuated := range m.evacuated {
		if evacuated {
			m.last.Evacuated = append(m.last.Evacuated, dataCentre)
		} else {
			m.last.Returned = append(m.last.Returned, dataCentre)
		}
	}
	return m.last
}
