package direct

import (
	"time"

	"goldcrestport/coordination/mirror"
)

// maxLoggedInvalid bounds the logged invalid entries that a router remembers; beyond it lines may
// repeat, within the rate limit of the log.
const maxLoggedInvalid = 1024

// handleInvalid handles entries that cannot be used. Requests that run at their servers continue;
// no new ones are sent there. The caller holds mu.
func (r *Router) handleInvalid(entries []mirror.InvalidEntry) {
	for _, one := range entries {
		if one.Server != "" {
			r.apply(r.roster.Invalidate(one.Server))
		}
		r.logInvalid(one)
	}
}

// logInvalid counts and logs an entry once for each of its revisions. The caller holds mu.
func (r *Router) logInvalid(one mirror.InvalidEntry) {
	if r.loggedInvalid[one.Key] == one.Revision {
		return
	}
	if len(r.loggedInvalid) >= maxLoggedInvalid {
		clear(r.loggedInvalid)
	}
	r.loggedInvalid[one.Key] = one.Revision
	r.metrics.invalid.Add(1)
	if allowed, dropped := r.failureLines.Allow("entry_invalid", time.Now()); allowed {
		r.event("entry_invalid", "key", one.Key, "revision", one.Revision, "reason", one.Reason, "left_out", dropped)
	}
}
