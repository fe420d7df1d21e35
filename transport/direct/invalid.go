package direct

import (
	"slices"
	"strings"
	"time"
)

// maxNoted bounds the invalid entries that a router remembers to have logged;
// beyond it lines may come again, within the bound of the log.
const maxNoted = 1024

// name is the server's id, or the key of an entry of another kind.
func (e InvalidEntry) name() string {
	if e.Server != "" {
		return e.Server
	}
	return e.Key
}

// invalidate takes the entries that cannot be used. Requests that run at their
// servers go on; no new ones are sent there. The caller holds mu.
func (r *Router) invalidate(entries []InvalidEntry) {
	for _, one := range entries {
		if one.Server != "" {
			r.apply(r.roster.Invalidate(one.Server))
		}
		r.noteInvalid(one)
	}
}

// noteInvalid counts and logs an entry once for each revision of it. The caller
// holds mu.
func (r *Router) noteInvalid(one InvalidEntry) {
	if r.noted[one.Key] == one.Revision {
		return
	}
	if len(r.noted) >= maxNoted {
		clear(r.noted)
	}
	r.noted[one.Key] = one.Revision
	r.metrics.invalid.Add(1)
	if allowed, dropped := r.failures.Allow("entry_invalid", time.Now()); allowed {
		r.event("entry_invalid", "key", one.Key, "revision", one.Revision, "reason", one.Reason, "left_out", dropped)
	}
}

// keepInvalid adds a server's entry to those that stand in the store. Others are
// of no use to who asks this router.
func (m *mirror) keepInvalid(one InvalidEntry) {
	if one.Server == "" {
		return
	}
	delete(m.servers, one.Server)
	m.invalid[one.Server] = one
}

// invalidEntries are those that stand in the store, by their keys.
func (m *mirror) invalidEntries() []InvalidEntry {
	out := make([]InvalidEntry, 0, len(m.invalid))
	for _, one := range m.invalid {
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b InvalidEntry) int { return strings.Compare(a.Key, b.Key) })
	return out
}
