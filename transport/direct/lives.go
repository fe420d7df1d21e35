package direct

import (
	"time"

	"goldcrestport/coordination/mirror"
)

// notePeersChanged records that the processes of other routers ended of which the change says so: their
// entries are gone or were created anew, which a process does once. The caller holds mu.
func (r *Router) notePeersChanged(d mirror.Delta) {
	for _, id := range d.Left {
		r.notePeerEnded(id)
	}
	for id, one := range d.Joined {
		if former, isKnown := r.peers[id]; isKnown && former != one {
			r.notePeerEnded(id)
		}
	}
}

// notePeersReplaced records that processes of other routers ended, or may have: a snapshot does not show
// those that came and went since what this router knew was last current. The caller holds mu.
func (r *Router) notePeersReplaced(now map[string]mirror.Registration) {
	if len(r.peers) == 0 {
		return
	}
	if age, isKnown := r.fresh.Age(bootTime()); !isKnown || age > r.cfg.Staleness.Bound {
		r.versions.RouterEnded(time.Now())
	}
	for id, former := range r.peers {
		if now[id] != former {
			r.notePeerEnded(id)
		}
	}
}

// notePeerEnded records that the process of another router ended. The caller holds mu.
func (r *Router) notePeerEnded(id string) {
	if id != r.set.ID {
		r.versions.RouterEnded(time.Now())
	}
}
