package mirror

import (
	"maps"
	"slices"

	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
)

// maxChanges bounds the changes that are kept for other routers: at ten changes a second
// they cover half a minute.
const maxChanges = 300

// history holds the newest changes of the store, so that another router can get only those
// that it lacks. Invariant: the changes are consecutive.
type history struct {
	// since is the revision after which every change is held; 0: none is.
	since   uint64
	changes []Delta
}

// restart drops all changes and continues from the revision.
func (h *history) restart(revision uint64) {
	h.since, h.changes = revision, nil
}

// add appends the newest change.
func (h *history) add(d Delta) {
	h.changes = append(h.changes, d)
	if excess := len(h.changes) - maxChanges; excess > 0 {
		h.since = h.changes[excess-1].Revision
		h.changes = slices.Delete(h.changes, 0, excess)
	}
}

// after returns the changes after the revision merged into one. It reports false if they
// are no longer all held.
func (h *history) after(revision uint64) (Delta, bool) {
	if h.since == 0 || revision < h.since {
		return Delta{}, false
	}
	m := newMerged()
	for _, d := range h.changes {
		if d.Revision > revision {
			m.add(d)
		}
	}
	return m.delta(), true
}

// Merge returns the sum of two changes that follow each other.
func Merge(first, second Delta) Delta {
	m := newMerged()
	m.add(first)
	m.add(second)
	return m.delta()
}

// merged is the sum of changes: the last one of each key counts.
type merged struct {
	result  Delta
	servers map[string]roster.Server
	removed map[string]bool
	// invalid are the entries that cannot be used by their keys, those of servers by the
	// servers' ids.
	invalid map[string]InvalidEntry
	joined  map[string]Registration
	left    map[string]bool
	// evacuated holds for each data centre with a change whether it is evacuated.
	evacuated map[string]bool
}

func newMerged() merged {
	return merged{
		servers: map[string]roster.Server{}, removed: map[string]bool{}, invalid: map[string]InvalidEntry{},
		joined: map[string]Registration{}, left: map[string]bool{}, evacuated: map[string]bool{},
	}
}

func (m *merged) add(d Delta) {
	if d.Config != nil {
		m.result.Config = d.Config
		maps.DeleteFunc(m.invalid, func(_ string, one InvalidEntry) bool { return one.IsConfig })
	}
	if d.Fleet != nil {
		m.result.Fleet = d.Fleet
	}
	m.result.Revision = d.Revision
	// Refused requests and sets are passed on, so that one router writes each.
	m.result.Refused = append(m.result.Refused, d.Refused...)
	m.result.Served = append(m.result.Served, d.Served...)
	m.result.HandedOver = append(m.result.HandedOver, d.HandedOver...)
	m.result.Ended = append(m.result.Ended, d.Ended...)
	m.addParts(d)
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
	for _, entry := range d.Invalid {
		delete(m.servers, entry.Server)
		m.invalid[entry.Name()] = entry
	}
	for id, registration := range d.Joined {
		m.endJoined(id, registration.Life)
		m.joined[id] = registration
		delete(m.left, id)
	}
	for _, id := range d.Left {
		m.endJoined(id, 0)
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

// endJoined records that a process which registered within these changes has ended, unless it is the one that is
// registered next.
func (m *merged) endJoined(id string, next versions.Life) {
	if one, is := m.joined[id]; is && (one.Life == 0 || one.Life != next) {
		m.result.Ended = append(m.result.Ended, one.Life)
	}
}

// addParts adds the refused sets of parts.
func (m *merged) addParts(d Delta) {
	r := &m.result
	r.RefusedParts = slices.DeleteFunc(r.RefusedParts, func(e partquarantine.Entry) bool {
		return slices.Contains(d.ReleasedParts, partquarantine.IDOf(e.Parts))
	})
	r.RefusedParts = append(r.RefusedParts, d.RefusedParts...)
	r.ReleasedParts = slices.DeleteFunc(r.ReleasedParts, func(id partquarantine.SetID) bool {
		return slices.ContainsFunc(d.RefusedParts, func(e partquarantine.Entry) bool { return partquarantine.IDOf(e.Parts) == id })
	})
	r.ReleasedParts = append(r.ReleasedParts, d.ReleasedParts...)
}

func (m *merged) delta() Delta {
	m.result.Servers = slices.Collect(maps.Values(m.servers))
	m.result.Invalid = slices.Collect(maps.Values(m.invalid))
	m.result.Removed = slices.Sorted(maps.Keys(m.removed))
	m.result.Joined = m.joined
	m.result.Left = slices.Sorted(maps.Keys(m.left))
	for dataCentre, evacuated := range m.evacuated {
		if evacuated {
			m.result.Evacuated = append(m.result.Evacuated, dataCentre)
		} else {
			m.result.Returned = append(m.result.Returned, dataCentre)
		}
	}
	return m.result
}
