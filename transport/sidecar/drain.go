package sidecar

import (
	"context"
	"sync"

	"goldcrestport/coordination/share"
)

// Sources of a drain other than routers.
const (
	drainByConfig = "configuration"
	drainByLease  = "lease"
)

// drainByRouter returns the drain source for a router. The prefix keeps any
// router id from colliding with the name of another source.
func drainByRouter(id string) string { return "router " + id }

// drain collects the reasons for which the sidecar accepts no new work: the
// configuration's drain list, the platform's instance list as read by routers,
// a change of role, and a lease that is not held.
//
// Invariant: the sidecar is drained while at least one source is set.
type drain struct {
	s *Sidecar

	mu      sync.Mutex
	sources map[string]bool
}

func newDrain(s *Sidecar) *drain { return &drain{s: s, sources: map[string]bool{}} }

// set records whether one source requires a drain.
func (d *drain) set(ctx context.Context, source string, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := len(d.sources) > 0
	if on {
		d.sources[source] = true
	} else {
		delete(d.sources, source)
	}
	after := len(d.sources) > 0
	if before == after {
		return
	}
	_ = d.s.log.Log("event", "drained", "on", after, "source", source, "held", d.s.inFlight.Load())
	d.s.scheduler.post(ctx, message{event: share.Drained{On: after}})
}
