package direct

import (
	"time"

	"goldcrestport/coordination/mirror"
)

// maxNoted bounds the invalid entries that a router remembers to have logged;
// beyond it lines may come again, within the bound of the log.
const maxNoted = 1024

// invalidate takes the entries that cannot be used. Requests that run at their
// servers go on; no new ones are sent there. The caller holds mu.
func (r *Router) invalidate(entries []mirror.InvalidEntry) {
	for _, one := range entries {
		if one.Server != "" {
			r.apply(r.roster.Invalidate(one.Server))
		}
		r.noteInvalid(one)
	}
}

// noteInvalid counts and logs an entry once for each revision of it. The caller
// holds mu.
func (r *Router) noteInvalid(one mirror.InvalidEntry) {
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
