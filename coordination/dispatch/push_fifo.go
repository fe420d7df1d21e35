package dispatch

import "time"

// pushFIFO is the placement of PolicyPushFIFO. It sends each request immediately
// to the least loaded sidecar and queues only if none is available.
type pushFIFO struct{ s *State }

func (d pushFIFO) admit(now time.Time, p *pool, e *entry) {
	if sc := d.leastLoaded(now, p, e); sc != nil {
		d.s.requests[e.req.ID] = e
		d.s.send(e, sc, 0)
		return
	}
	d.s.enqueueNew(now, p, e)
}

// readmit queues the request until the next maintenance, so that a sidecar that
// declines is not sent requests in a tight loop.
func (d pushFIFO) readmit(now time.Time, p *pool, e *entry) { d.s.enqueueOrRefuse(now, p, e) }

func (d pushFIFO) capacityChanged(now time.Time, p *pool) {
	for _, q := range p.active {
		for e := q.oldest(); e != nil; e = q.oldest() {
			sc := d.leastLoaded(now, p, e)
			if sc == nil {
				break
			}
			d.s.dequeue(now, p, e)
			q.drainRate.recordDeparture()
			d.s.send(e, sc, 0)
		}
	}
}

// leastLoaded returns the sidecar with the lowest known load per slot, or nil.
// The known load is that of the last report plus the attempts sent from here
// since. Ties are broken at random.
func (d pushFIFO) leastLoaded(now time.Time, p *pool, e *entry) *sidecar {
	var best *sidecar
	ties := 0
	for _, sc := range p.sidecars {
		if !sc.available() || e.avoids(now, sc) && p.availableSidecars() > 1 {
			continue
		}
		switch {
		case best == nil || sc.loadPerSlot() < best.loadPerSlot():
			best, ties = sc, 1
		case sc.loadPerSlot() == best.loadPerSlot():
			if ties++; d.s.rng.IntN(ties) == 0 {
				best = sc
			}
		}
	}
	return best
}

func (sc *sidecar) loadPerSlot() float64 {
	return float64(sc.reportedLoad+sc.sentSinceReport) / float64(max(sc.slots, 1))
}
