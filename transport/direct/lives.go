package direct

import (
	"context"
	"time"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/versions"
)

// recordLife records under which life this process is registered: it is none that was lost.
func (r *Router) recordLife(life versions.Life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life = life
	r.versions.Account(time.Now(), life)
	r.versions.Registered(time.Now())
}

// noteHandedOver records that processes of routers ended as planned. Their routers are asked until their entries are
// gone: the next process of one may have begun streams before others know it. The caller holds mu.
func (r *Router) noteHandedOver(all []versions.Life) {
	for _, one := range all {
		r.versions.Account(time.Now(), one)
	}
}

// notePeersChanged records that the processes of routers ended of which the change says so: their entries are gone or
// were written anew, which a process does once. The caller holds mu.
func (r *Router) notePeersChanged(d mirror.Delta) {
	for _, id := range d.Left {
		r.notePeerGone(id)
	}
	for _, one := range d.Ended {
		r.notePeerEnded("", mirror.Registration{Life: one})
	}
	for id, one := range d.Joined {
		if former, isKnown := r.peers[id]; isKnown && (former != one || one.Life == 0) {
			r.notePeerEnded(id, former)
		}
	}
	if len(d.Joined)+len(d.Left) > 0 {
		r.membersRevision = d.Revision
	}
}

// notePeersReplaced records that processes of routers ended, or may have: a snapshot does not show
// those that came and went since what this router knew was last current. The caller holds mu.
func (r *Router) notePeersReplaced(s mirror.Snapshot) {
	if r.knewAllAt.IsZero() {
		r.knewAllAt, r.membersRevision = time.Now(), s.Revision
		if own, isKnown := s.Routers[r.set.ID]; isKnown {
			// Unless it turns out to be this process, an earlier one of this router.
			r.versions.RouterEnded(time.Now(), own.Life)
		}
		return
	}
	if age, isKnown := r.fresh.Age(bootTime()); !isKnown || age > r.cfg.Staleness.Bound {
		r.versions.RouterGone(time.Now())
	}
	for id, former := range r.peers {
		if s.Routers[id] != former {
			// There may have been another process between the two.
			r.notePeerGone(id)
			r.membersRevision = s.Revision
		}
	}
	if len(s.Routers) != len(r.peers) {
		r.membersRevision = s.Revision
	}
}

// notePeerGone records that the router is registered no more, or may not have been for a while. The caller holds mu.
func (r *Router) notePeerGone(id string) {
	if id == r.set.ID {
		return
	}
	r.versions.RouterGone(time.Now())
	r.logRouterEnd("router_gone", "router", id, "life", r.peers[id].Life)
}

// notePeerEnded records that a process of the router ended. The caller holds mu.
func (r *Router) notePeerEnded(id string, one mirror.Registration) {
	if one.Life != 0 && one.Life == r.life {
		return
	}
	r.versions.RouterEnded(time.Now(), one.Life)
	r.logRouterEnd("router_ended", "router", id, "life", one.Life, "handed_over", r.versions.IsAccounted(one.Life))
}

// logRouterEnd logs the end of a process of another router, within a bound: a whole fleet may be killed at once.
func (r *Router) logRouterEnd(name string, keyvals ...any) {
	if allowed, dropped := r.failureLines.Allow(name, time.Now()); allowed {
		r.event(name, append(keyvals, "left_out", dropped)...)
	}
}

// says returns what this router says of a stream of the service that it does not know. The caller holds mu.
func (r *Router) says(service string) versions.Statement {
	s := r.versions.Says(service)
	s.Life = r.life
	s.Revision, s.Members = r.mirror.Revision(), r.membersRevision
	return s
}

// Times of taking over what other routers have proven.
const (
	// takeOverInterval is the interval of the first tries of a router that began as streams begin at several
	// versions, and takeOverMaxInterval that of the last ones.
	takeOverInterval    = 250 * time.Millisecond
	takeOverMaxInterval = 8 * time.Second
)

// takeOverProofs asks the other routers what they have proven of services of which this one cannot prove it as it began
// too late, until ctx ends: those that can may be stopped one after the other.
func (r *Router) takeOverProofs(ctx context.Context) {
	pause := takeOverInterval
	for ctx.Err() == nil {
		sleep(ctx, pause)
		r.mu.Lock()
		wanted, knewAllAt := r.versions.Unproven(), r.knewAllAt
		r.mu.Unlock()
		if len(wanted) == 0 {
			pause = takeOverInterval
			continue
		}
		for _, service := range wanted {
			r.takeOverProof(ctx, service, knewAllAt)
		}
		pause = min(2*pause, takeOverMaxInterval)
	}
}

// takeOverProof asks the other routers for the first version of the service.
func (r *Router) takeOverProof(ctx context.Context, service string, knewAllAt time.Time) {
	first, conclusion := r.origins.prove(ctx, service)
	if conclusion != versions.IsProven {
		return
	}
	r.mu.Lock()
	r.versions.TakeOver(service, first, knewAllAt)
	r.mu.Unlock()
	r.event("proof_taken_over", "service", service, "software", first)
}
