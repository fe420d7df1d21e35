package direct

import (
	"context"
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
		if one.IsConfig {
			r.hasUnreadableConfig = true
			r.metrics.configUnreadable.Set(1)
		}
		r.logInvalid(one)
	}
}

// noteReadableConfig records that a configuration was read. The caller holds mu.
func (r *Router) noteReadableConfig() {
	r.hasUnreadableConfig = false
	r.metrics.configUnreadable.Set(0)
}

// lacksConfig reports whether this router has none, and the one in the store cannot be read.
func (r *Router) lacksConfig() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasUnreadableConfig && r.table.Load() == nil
}

// fetchConfig fetches what another router has, with the last configuration that could be read.
func (f *follower) fetchConfig(ctx context.Context) {
	_, addresses := f.r.otherRouters()
	for id, address := range addresses {
		if err := f.fetchFrom(ctx, address.String(), changesRequest{}); err == nil && f.r.table.Load() != nil {
			f.r.event("configuration_by_router", "router", id, "version", f.r.table.Load().Version())
		}
		// One of them, by chance: this is repeated.
		return
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
