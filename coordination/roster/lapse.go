package roster

import (
	"slices"
	"time"
)

// lapse is a server that is not used any more as its entry lapsed, and may write it again until a time.
type lapse struct {
	server Server
	until  time.Time
}

// recordLapse records that the entry of a server goes. It lapsed if the store was away until lately;
// one that drains goes because it leaves.
func (r *Roster) recordLapse(now time.Time, e *entry) {
	if e.server.Draining || e.reported {
		return
	}
	r.lapsed[e.server.ID] = lapse{server: e.server, until: now.Add(r.cfg.LapseTTL)}
}

// expireLapses drops the servers that did not come back in time.
func (r *Roster) expireLapses(now time.Time) {
	for id, one := range r.lapsed {
		if !now.Before(one.until) {
			delete(r.lapsed, id)
		}
	}
}

// Returning returns the software versions of the service of which a server may be back soon, as its
// entry only lapsed.
func (r *Roster) Returning(now time.Time, service string) []Version {
	var out []Version
	for _, one := range r.lapsed {
		if one.server.Service == service && now.Before(one.until) && !slices.Contains(out, one.server.Version) {
			out = append(out, one.server.Version)
		}
	}
	slices.Sort(out)
	return out
}
