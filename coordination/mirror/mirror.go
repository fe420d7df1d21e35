// Package mirror keeps a router's copy of the store: the entries themselves, without what
// the roster concludes from them, and the newest changes, so that another router can get
// only those that it lacks.
//
// It performs no I/O. Direct routers use it; platform reads the store into its types.
package mirror

import (
	"maps"
	"slices"
	"strings"

	"goldcrestport/coordination/roster"
	"goldcrestport/state/routing"
)

// Mirror is a copy of the store. Its zero value is empty. It must be used by one goroutine
// at a time.
type Mirror struct {
	config  *routing.Config
	servers map[string]roster.Server
	// invalid are the entries that cannot be used, by their servers' ids.
	invalid map[string]InvalidEntry
	// evacuated are the data centres whose servers get no requests.
	evacuated map[string]bool
	revision  uint64
	history   history
}

// Revision returns the revision up to which every change is known; 0: the store must be
// read in full.
func (m *Mirror) Revision() uint64 { return m.revision }

// Config returns the newest known configuration; nil for none.
func (m *Mirror) Config() *routing.Config { return m.config }

// Server returns the server's entry.
func (m *Mirror) Server(id string) (roster.Server, bool) {
	server, ok := m.servers[id]
	return server, ok
}

// Evacuated returns the data centres whose servers get no requests. The map is not changed
// later.
func (m *Mirror) Evacuated() map[string]bool { return m.evacuated }

// After returns the changes after the revision merged into one. It reports false if they
// are no longer all known.
func (m *Mirror) After(revision uint64) (Delta, bool) { return m.history.after(revision) }

// Whole returns all entries except the configuration, the routers and their number.
func (m *Mirror) Whole() Snapshot {
	return Snapshot{
		Servers: slices.Collect(maps.Values(m.servers)), Invalid: m.invalidEntries(),
		Evacuated: slices.Collect(maps.Keys(m.evacuated)), Revision: m.revision,
	}
}

// Replace takes a full reading of the store.
func (m *Mirror) Replace(s Snapshot) {
	if s.Config != nil {
		m.config = s.Config
	}
	m.servers = make(map[string]roster.Server, len(s.Servers))
	for _, server := range s.Servers {
		m.servers[server.ID] = server
	}
	m.invalid = make(map[string]InvalidEntry, len(s.Invalid))
	for _, entry := range s.Invalid {
		m.keepInvalid(entry)
	}
	m.evacuated = make(map[string]bool, len(s.Evacuated))
	for _, dataCentre := range s.Evacuated {
		m.evacuated[dataCentre] = true
	}
	m.revision = s.Revision
	m.history.restart(s.Revision)
}

// Update applies the changes that follow the known ones.
func (m *Mirror) Update(d Delta) {
	m.history.add(d)
	if d.Config != nil {
		m.config = d.Config
	}
	for _, server := range d.Servers {
		m.servers[server.ID] = server
		delete(m.invalid, server.ID)
	}
	for _, id := range d.Removed {
		delete(m.servers, id)
		delete(m.invalid, id)
	}
	for _, entry := range d.Invalid {
		m.keepInvalid(entry)
	}
	m.evacuate(d)
	m.revision = d.Revision
}

// evacuate applies evacuations and their revocations to a copy of the set, because callers
// may still use the old one.
func (m *Mirror) evacuate(d Delta) {
	updated := make(map[string]bool, len(m.evacuated)+len(d.Evacuated))
	maps.Copy(updated, m.evacuated)
	m.evacuated = updated
	for _, dataCentre := range d.Evacuated {
		m.evacuated[dataCentre] = true
	}
	for _, dataCentre := range d.Returned {
		delete(m.evacuated, dataCentre)
	}
}

// keepInvalid adds a server's invalid entry. Entries of other kinds are of no use to the
// routers that ask this one.
func (m *Mirror) keepInvalid(entry InvalidEntry) {
	if entry.Server == "" {
		return
	}
	delete(m.servers, entry.Server)
	m.invalid[entry.Server] = entry
}

// invalidEntries returns the invalid entries in the store, ordered by their keys.
func (m *Mirror) invalidEntries() []InvalidEntry {
	out := make([]InvalidEntry, 0, len(m.invalid))
	for _, entry := range m.invalid {
		out = append(out, entry)
	}
	slices.SortFunc(out, func(a, b InvalidEntry) int { return strings.Compare(a.Key, b.Key) })
	return out
}
