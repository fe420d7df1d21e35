package dispatch

import "time"

// pushFair is the placement of PolicyPushFair: this router's queues are
// served by cost over share, and pushed while this router's attempts at a
// sidecar are below its part of the slots.
type pushFair struct{ s *State }

func (d pushFair) admit(now time.Time, p *pool, e *entry) {
	d.raise(p, p.queue(d.s, e.req.Team))
	if d.s.wait(now, p, e) {
		d.roomChanged(now, p)
	}
}

// readmit waits for the next look at the pool, so that a sidecar that
// declines is not asked without pause.
func (d pushFair) readmit(now time.Time, p *pool, e *entry) { d.s.waitAgain(now, p, e) }

// raise lifts a team that becomes backlogged to the least virtual service of
// those that are, so that no credit is saved up.
func (d pushFair) raise(p *pool, q *queue) {
	if q.len() > 0 {
		return
	}
	if least := d.next(p); least != nil {
		q.served = max(q.served, d.virtual(least)*d.s.share(q.team))
	}
}

func (d pushFair) virtual(q *queue) float64 { return q.served / d.s.share(q.team) }

func (d pushFair) roomChanged(now time.Time, p *pool) {
	for {
		q, c := d.next(p), d.emptiest(p)
		if q == nil || c == nil {
			return
		}
		e := q.oldest()
		q.served += e.req.Estimate
		d.s.unqueue(now, p, e)
		q.drain.departed()
		d.s.send(e, c, 0)
	}
}

// next returns the queue with the least virtual service, or nil.
func (d pushFair) next(p *pool) *queue {
	var best *queue
	for _, q := range p.active {
		if q.len() > 0 && (best == nil || d.virtual(q) < d.virtual(best)) {
			best = q
		}
	}
	return best
}

// emptiest returns the sidecar with the smallest part of its window used, or
// nil if none has room.
func (d pushFair) emptiest(p *pool) *peer {
	var best *peer
	least := 1.0
	for _, c := range p.peers {
		if !c.open() || c.slots == 0 {
			continue
		}
		if used := float64(c.inFlight) / float64(d.window(c)); used < least {
			best, least = c, used
		}
	}
	return best
}

// window is this router's part of the sidecar's slots, rounded up.
func (d pushFair) window(c *peer) int {
	return max((c.slots+d.s.routers-1)/d.s.routers, 1)
}
