package sidecar

import (
	"context"
	"sync"

	"goldcrestport/coordination/share"
)

// Sources of a drain beside routers.
const (
	drainByConfig = "configuration"
	drainByLease  = "lease"
)

// drainByRouter names a router as a source of a drain. No router's id makes it
// the name of another source.
func drainByRouter(id string) string { return "router " + id }

// drain collects the reasons for which the sidecar takes no new work: the
// configuration's drain list, the platform's list as routers read it, and a
// lease that is not held.
//
// Invariant: the sidecar is drained while any source says so.
type drain struct {
	s *Sidecar

	mu      sync.Mutex
	sources map[string]bool
}

func newDrain(s *Sidecar) *drain { return &drain{s: s, sources: map[string]bool{}} }

// set records what one source says.
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
	_ = d.s.log.Log("event", "drained", "on", after, "source", source, "held", d.s.held.Load())
	d.s.chooser.post(ctx, message{event: share.Drained{On: after}})
}
