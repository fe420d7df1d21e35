package dispatch

import "time"

// pushFair is the placement of PolicyPushFair. It serves the queue with the
// lowest served cost relative to its share, and pushes requests to a sidecar
// while this router's attempts there are below its portion of the slots.
type pushFair struct{ s *State }

func (d pushFair) admit(now time.Time, p *pool, e *entry) {
	d.raise(p, p.queue(d.s, e.req.Team))
	if d.s.enqueueNew(now, p, e) {
		d.capacityChanged(now, p)
	}
}

// readmit queues the request until the next maintenance, so that a sidecar that
// declines is not sent requests in a tight loop.
func (d pushFair) readmit(now time.Time, p *pool, e *entry) { d.s.enqueueOrRefuse(now, p, e) }

// raise brings a team that becomes backlogged up to the least virtual service of
// the backlogged teams, so that an idle team accumulates no credit.
func (d pushFair) raise(p *pool, q *queue) {
	if q.len() > 0 {
		return
	}
	if least := d.nextQueue(p); least != nil {
		q.servedCost = max(q.servedCost, d.virtualService(least)*d.s.shareOf(q.team))
	}
}

// virtualService returns the served cost of the queue divided by its share.
func (d pushFair) virtualService(q *queue) float64 { return q.servedCost / d.s.shareOf(q.team) }

func (d pushFair) capacityChanged(now time.Time, p *pool) {
	for {
		q, sc := d.nextQueue(p), d.leastUtilised(p)
		if q == nil || sc == nil {
			return
		}
		e := q.oldest()
		q.servedCost += e.req.Estimate
		d.s.dequeue(now, p, e)
		q.drainRate.recordDeparture()
		d.s.send(e, sc, 0)
	}
}

// nextQueue returns the backlogged queue with the least virtual service, or nil.
func (d pushFair) nextQueue(p *pool) *queue {
	var best *queue
	for _, q := range p.active {
		if q.len() > 0 && (best == nil || d.virtualService(q) < d.virtualService(best)) {
			best = q
		}
	}
	return best
}

// leastUtilised returns the sidecar with the smallest fraction of its window in
// use, or nil if no window has space.
func (d pushFair) leastUtilised(p *pool) *sidecar {
	var best *sidecar
	least := 1.0
	for _, sc := range p.sidecars {
		if !sc.available() || sc.slots == 0 {
			continue
		}
		if used := float64(sc.inFlight) / float64(d.window(sc)); used < least {
			best, least = sc, used
		}
	}
	return best
}

// window returns this router's portion of the sidecar's slots, rounded up.
func (d pushFair) window(sc *sidecar) int {
	return max((sc.slots+d.s.routerCount-1)/d.s.routerCount, 1)
}
