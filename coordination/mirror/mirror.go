// Package mirror keeps what the store holds, as far as a router knows: the entries themselves,
// without what the roster makes of them, and the newest changes, so that another router gets what
// it lacks.
//
// It is pure. Direct routers use it; platform reads the store into its types.
package mirror

import (
	"maps"
	"slices"
	"strings"

	"goldcrestport/coordination/roster"
	"goldcrestport/state/routing"
)

// Mirror is what is known of the store. Its zero value knows nothing. It must be used by one
// goroutine at a time.
type Mirror struct {
	config  *routing.Config
	servers map[string]roster.Server
	// invalid holds the entries that cannot be used by their servers' ids.
	invalid map[string]InvalidEntry
	// evacuated are the data centres whose servers are to get nothing.
	evacuated map[string]bool
	revision  uint64
	history   history
}

// Revision is that up to which everything is known; 0: everything is to be read.
func (m *Mirror) Revision() uint64 { return m.revision }

// Config is the newest configuration that is known; nil for none.
func (m *Mirror) Config() *routing.Config { return m.config }

// Server returns the server's entry.
func (m *Mirror) Server(id string) (roster.Server, bool) {
	one, is := m.servers[id]
	return one, is
}

// Evacuated are the data centres whose servers are to get nothing. It is not changed later.
func (m *Mirror) Evacuated() map[string]bool { return m.evacuated }

// After returns what changed after the revision as one change. It reports false when that is
// not known any more.
func (m *Mirror) After(revision uint64) (Delta, bool) { return m.history.after(revision) }

// Whole returns all entries but the configuration and the routers.
func (m *Mirror) Whole() Snapshot {
	return Snapshot{
		Servers: slices.Collect(maps.Values(m.servers)), Invalid: m.invalidEntries(),
		Evacuated: slices.Collect(maps.Keys(m.evacuated)), Revision: m.revision,
	}
}

// Replace takes a whole reading.
func (m *Mirror) Replace(s Snapshot) {
	if s.Config != nil {
		m.config = s.Config
	}
	m.servers = make(map[string]roster.Server, len(s.Servers))
	for _, one := range s.Servers {
		m.servers[one.ID] = one
	}
	m.invalid = make(map[string]InvalidEntry, len(s.Invalid))
	for _, one := range s.Invalid {
		m.keepInvalid(one)
	}
	m.evacuated = make(map[string]bool, len(s.Evacuated))
	for _, dataCentre := range s.Evacuated {
		m.evacuated[dataCentre] = true
	}
	m.revision = s.Revision
	m.history.restart(s.Revision)
}

// Update takes the changes after those that are known.
func (m *Mirror) Update(d Delta) {
	m.history.add(d)
	if d.Config != nil {
		m.config = d.Config
	}
	for _, one := range d.Servers {
		m.servers[one.ID] = one
		delete(m.invalid, one.ID)
	}
	for _, id := range d.Removed {
		delete(m.servers, id)
		delete(m.invalid, id)
	}
	for _, one := range d.Invalid {
		m.keepInvalid(one)
	}
	m.evacuate(d)
	m.revision = d.Revision
}

// evacuate takes the data centres that are evacuated, or are no more. Others may
// hold the set as it was.
func (m *Mirror) evacuate(d Delta) {
	now := make(map[string]bool, len(m.evacuated)+len(d.Evacuated))
	maps.Copy(now, m.evacuated)
	m.evacuated = now
	for _, dataCentre := range d.Evacuated {
		m.evacuated[dataCentre] = true
	}
	for _, dataCentre := range d.Returned {
		delete(m.evacuated, dataCentre)
	}
}

// keepInvalid adds a server's entry to those that stand in the store. Others are
// of no use to who asks this router.
func (m *Mirror) keepInvalid(one InvalidEntry) {
	if one.Server == "" {
		return
	}
	delete(m.servers, one.Server)
	m.invalid[one.Server] = one
}

// invalidEntries are those that stand in the store, by their keys.
func (m *Mirror) invalidEntries() []InvalidEntry {
	out := make([]InvalidEntry, 0, len(m.invalid))
	for _, one := range m.invalid {
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b InvalidEntry) int { return strings.Compare(a.Key, b.Key) })
	return out
}
