package direct

import (
	"time"

	"goldcrestport/coordination/roster"
)

// Times for a router's membership among those that share the rate for cold servers.
const (
	// settleTime is how long after a new registration a router begins to use its share: an
	// earlier process with its id may have used the share just before, routers with older
	// information do not count this one yet, and it may not know itself that its earlier
	// registration had ended.
	settleTime = 3 * time.Second
	// leaseMargin is how long before its registration may end a router stops using its share:
	// routers that see it gone use that share at once.
	leaseMargin = 1500 * time.Millisecond
)

// membership is the period, by the clock of bootTime, in which this router's registration in
// the store is certain to be valid.
type membership struct{ from, until time.Duration }

// isValid reports whether the registration is valid at the time.
func (m membership) isValid(now time.Duration) bool {
	return m.from > 0 && now >= m.from && now < m.until
}

// recordRenewal records that a call sent at the time renewed this router's entry, or created it
// anew.
func (r *Router) recordRenewal(sent time.Duration, anew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if anew {
		r.member.from = sent + settleTime
	}
	r.member.until = sent + registerTTL - leaseMargin
}

// registered returns the registered routers with the revisions of their entries. The caller
// holds mu.
func (r *Router) registered() map[string]uint64 {
	all := make(map[string]uint64, len(r.peers))
	for id, one := range r.peers {
		all[id] = one.Since
	}
	return all
}

// recordColdServers applies what entries say about cold servers, before the mirror has them.
// Entries that are already known are skipped. The caller holds mu.
func (r *Router) recordColdServers(entries []roster.Server) {
	now := time.Now()
	for _, one := range entries {
		if known, is := r.mirror.Server(one.ID); is && known.Revision == one.Revision && one.Revision > 0 {
			continue
		}
		r.warmup.Entered(now, one.Identity(), one.Service, one.ColdFor, one.Revision)
	}
}
