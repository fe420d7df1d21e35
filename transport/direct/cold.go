package direct

import (
	"time"

	"goldcrestport/coordination/roster"
)

// Times of a router's membership among those that share the rate of cold servers.
const (
	// settleTime is how long after it was registered anew a router takes part: an
	// earlier process under its id may have used its part just before, routers
	// whose knowledge is older do not count it yet, and it may not know itself
	// that its earlier registration had ended.
	settleTime = 3 * time.Second
	// leaseMargin is how long before its registration may end a router takes part
	// no more: those that see it gone use its part at once.
	leaseMargin = 1500 * time.Millisecond
)

// membership is when this router's registration in the store surely stands, by the
// clock of bootTime.
type membership struct{ from, until time.Duration }

// stands reports whether it does at the time.
func (m membership) stands(now time.Duration) bool {
	return m.from > 0 && now >= m.from && now < m.until
}

// renewed notes that a call that was sent at the time kept this router's entry, or
// entered it anew.
func (r *Router) renewed(sent time.Duration, anew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if anew {
		r.member.from = sent + settleTime
	}
	r.member.until = sent + registerTTL - leaseMargin
}

// registered returns the registered routers with the revisions of their entries.
// The caller holds mu.
func (r *Router) registered() map[string]uint64 {
	all := make(map[string]uint64, len(r.peers))
	for id, one := range r.peers {
		all[id] = one.Since
	}
	return all
}

// warm takes what entries say of cold servers, before the mirror has them. One that
// is known already says nothing new. The caller holds mu.
func (r *Router) warm(entries []roster.Server) {
	now := time.Now()
	for _, one := range entries {
		if known, is := r.mirror.Server(one.ID); is && known.Revision == one.Revision && one.Revision > 0 {
			continue
		}
		r.warmup.Entered(now, one.Identity(), one.Service, one.ColdFor, one.Revision)
	}
}
