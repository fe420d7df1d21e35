package dispatch

import "time"

// pushFIFO is the placement of PolicyPushFIFO: each request goes at once to
// the sidecar with the least load. Nothing waits here while there is one.
type pushFIFO struct{ s *State }

func (d pushFIFO) admit(now time.Time, p *pool, e *entry) {
	if c := d.leastLoaded(now, p, e); c != nil {
		d.s.requests[e.req.ID] = e
		d.s.send(e, c, 0)
		return
	}
	d.s.wait(now, p, e)
}

// readmit waits for the next look at the pool, so that a sidecar that
// declines is not asked without pause.
func (d pushFIFO) readmit(now time.Time, p *pool, e *entry) { d.s.waitAgain(now, p, e) }

func (d pushFIFO) roomChanged(now time.Time, p *pool) {
	for _, q := range p.active {
		for e := q.oldest(); e != nil; e = q.oldest() {
			c := d.leastLoaded(now, p, e)
			if c == nil {
				break
			}
			d.s.unqueue(now, p, e)
			q.drain.departed()
			d.s.send(e, c, 0)
		}
	}
}

// leastLoaded returns the sidecar with the least known work per slot, or nil.
// Known work is the last report and what was sent from here since.
func (d pushFIFO) leastLoaded(now time.Time, p *pool, e *entry) *peer {
	var best *peer
	ties := 0
	for _, c := range p.peers {
		if !c.open() || e.avoids(now, c) && p.openPeers() > 1 {
			continue
		}
		switch {
		case best == nil || c.perSlot() < best.perSlot():
			best, ties = c, 1
		case c.perSlot() == best.perSlot():
			if ties++; d.s.rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

func (c *peer) perSlot() float64 {
	return float64(c.occupied+c.since) / float64(max(c.slots, 1))
}
