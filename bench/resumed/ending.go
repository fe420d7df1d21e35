package resumed

import (
	"slices"
	"strings"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/health"
)

// serverEnded relays the end of an answer.
func (c *call) serverEnded(r *run) {
	c.w.after(hop, func() {
		c.r.do(relayCost, func() {
			if c.ended || c.run != r {
				return
			}
			c.r.admission.Generated(r.admitted, r.events*eventTokens)
			c.end(health.Success, !c.w.endsWithConnection)
			c.w.callerDone(c)
		})
	})
}

// serverBroke handles a run whose process ended.
func (c *call) serverBroke(r *run) {
	c.r.do(smallCost, func() {
		if c.ended || c.run != r {
			return
		}
		identity := r.server.entry.Identity()
		c.r.peerOf(identity).entry = c.r.peerOf(identity).entry.DeathSeen(c.w.now)
		c.w.reportDeath(c.r, identity)
		c.r.admission.Ended(c.w.wall(), r.admitted, health.Failure)
		r.conn.close()
		if c.progress != nil {
			c.progress()
		}
		switch {
		case c.answerBegun && c.certain && c.stream.route.resumable:
			c.place()
		case c.answerBegun:
			c.end(health.NoResult, false)
			c.w.callerBroken(c)
		case c.reached < c.stream.route.attempts:
			c.place()
		default:
			c.refuse(doorCrash, 0)
		}
	})
}

// end ends the call at its router.
func (c *call) end(result health.Result, keep bool) {
	if c.ended {
		return
	}
	c.ended = true
	delete(c.r.calls, c)
	if c.run != nil {
		if !c.run.ended {
			c.run.server.finish(c.run)
		}
		c.r.admission.Ended(c.w.wall(), c.run.admitted, result)
		c.run.conn.free(keep)
	}
	if c.recorded {
		c.r.table.Ended(c.w.wall(), c.stream.id)
	}
}

// callerLeft ends the call as its caller has gone.
func (c *call) callerLeft() {
	life := c.r.life
	c.w.after(clientHop, func() {
		if c.r.life == life {
			c.r.do(smallCost, func() { c.end(health.NoResult, false) })
		}
	})
}

// routerEnded ends the call as its router's process has ended.
func (c *call) routerEnded() {
	if c.ended {
		return
	}
	c.ended = true
	if c.run != nil && !c.run.ended {
		c.w.after(hop, func() { c.run.server.finish(c.run) })
	}
	c.w.after(clientHop, func() { c.w.callerBroken(c) })
}

// unplaced refuses a request for which no server was found, or cuts its answer.
func (c *call) unplaced(d admission.Decision) {
	door := c.doorOf(d)
	if c.answerBegun {
		c.end(health.NoResult, false)
		c.w.callerBroken(c)
		return
	}
	c.refuse(door, d.RetryAfter)
}

// doorOf names what kept the request from a server.
func (c *call) doorOf(d admission.Decision) string {
	switch {
	case d.Verdict == admission.Refuse && d.Reason != admission.ReasonWait:
		return d.Reason
	case d.Verdict == admission.Refuse && d.Throttled && d.Wait > d.Limit:
		return doorThrottled + " and " + doorWait
	case d.Verdict == admission.Refuse && d.Throttled:
		return doorThrottled
	case d.Verdict == admission.Refuse:
		return doorWait
	case c.isBound && !slices.Contains(c.r.versions.Serving(service), c.bound.Version):
		return doorVersion
	case c.untrusted > 0:
		return doorTrust
	default:
		return doorUnusable
	}
}

// refuse answers the caller with a refusal.
func (c *call) refuse(door string, after time.Duration) {
	if c.ended {
		return
	}
	c.end(health.NoResult, false)
	c.w.after(clientHop, func() { c.w.callerRefused(c, door, after) })
}

// reportDeath lets the other routers know of the end of a process.
func (w *world) reportDeath(from *router, identity string) {
	id, _, _ := strings.Cut(identity, "@")
	at := w.now
	for _, one := range from.fleetIDs() {
		from.send(one, func(other *router) {
			if s, known := other.servers[id]; known && s.Identity() == identity {
				other.peerOf(identity).entry = other.peerOf(identity).entry.DeathSeen(at)
			}
		})
	}
}
