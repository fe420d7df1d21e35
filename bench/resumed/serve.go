package resumed

import (
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
)

// maxSends bounds the servers that a router tries for one request.
const maxSends = 4

// call is one attempt of a caller at a router.
type call struct {
	w      *world
	r      *router
	stream *stream
	number uint64
	// resumes means that the caller takes its stream up again.
	resumes bool

	sends, reached int
	avoid          []string
	// What is known of the stream, as the product keeps it.
	bound              origin.Origin
	isBound, isStrict  bool
	recorded, certain  bool
	isConflicting      bool
	knownBy            string
	answerBegun, ended bool
	run                *run
	// progress brings what the caller has up to date; broken means that its answer has broken off.
	progress func()
	broken   bool
	// untrusted is the number of servers of the version without a trusted connection at the last placing.
	untrusted int
}

// decide places a request, after finding where its stream began if it goes on.
func (c *call) decide() {
	if c.ended {
		return
	}
	if c.resumes {
		c.resolve(c.place)
		return
	}
	c.place()
}

// need returns what has to be known of the process that gets the request.
func (c *call) need() trust {
	switch {
	case !c.isBound:
		return anyProcess
	case c.isStrict || c.r.isMixed(service):
		return vouchedFor
	default:
		return noSuspect
	}
}

// place asks the admission for a server, and sends the request there.
func (c *call) place() {
	if c.ended {
		return
	}
	req := admission.Request{
		Service: service, Team: c.stream.team, Class: c.stream.route.name, Prompt: c.prompt(), Output: c.stream.output, SharedPrefixes: c.stream.prefixes,
		Objective: c.stream.route.objective, Elapsed: c.w.now - c.stream.bornAt, Avoid: c.avoid, Repeatable: c.stream.route.attempts > 1,
		Sent: c.sends > 0, MayHaveRun: c.reached > 0, Bound: c.limits(),
	}
	if c.stream.attempts == 1 {
		req.Elapsed = 0
	}
	c.untrusted = 0
	d := c.r.admission.Place(c.w.wall(), req)
	if d.Verdict != admission.Send {
		c.unplaced(d)
		return
	}
	c.send(d)
}

// limits returns the limit of the servers at which the stream may go on.
func (c *call) limits() *admission.Bound {
	if !c.isBound {
		return c.newLimits()
	}
	need := c.need()
	return &admission.Bound{
		Version: c.bound.Version, Resumes: c.resumes && c.knownBy != "",
		Trusts: func(identity string) bool {
			offers := c.r.peerOf(identity).offers(need)
			if !offers {
				c.untrusted++
			}
			return offers
		},
	}
}

// newLimits returns the limit of the servers at which a new stream may begin.
func (c *call) newLimits() *admission.Bound {
	only, isIntroducing := c.r.versions.Introducing(service)
	if !isIntroducing {
		return nil
	}
	return &admission.Bound{Version: only, Trusts: func(string) bool { return true }}
}

// prompt returns the tokens to read: what was generated belongs to it.
func (c *call) prompt() int { return c.stream.prompt + c.stream.got*eventTokens }

// send sends the request to the server of the decision.
func (c *call) send(d admission.Decision) {
	c.sends++
	identity := roster.Identity(d.Run.Server(), d.Run.Incarnation())
	c.avoid = append(c.avoid, d.Run.Server())
	process := c.w.processes[identity]
	connection := c.r.peerOf(identity).take(process, c.need())
	if connection == nil {
		result := health.NoResult
		if process.gone {
			result = health.Unreachable
			c.w.reportDeath(c.r, identity)
		}
		c.r.admission.Ended(c.w.wall(), d.Run, result)
		c.next(doorTrust)
		return
	}
	one := &run{call: c, conn: connection, server: process, admitted: d.Run, prompt: c.prompt(), prefixes: c.stream.prefixes, events: c.stream.events - c.stream.got}
	c.run = one
	c.w.after(hop, func() {
		switch {
		case one.ended:
		case process.accept(one):
			c.reached++
		default:
			c.w.after(hop, func() { c.r.do(smallCost, func() { c.serverRefused(one) }) })
		}
	})
}

// serverRefused tries another server.
func (c *call) serverRefused(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	if r.server.draining {
		c.r.apply(c.r.roster.ShutdownAnnounced(r.server.entry.ID, r.server.entry.Incarnation))
	}
	c.r.admission.Refused(c.w.wall(), r.admitted)
	c.r.admission.Ended(c.w.wall(), r.admitted, health.NoResult)
	r.conn.free(true)
	c.next(doorServers)
}

// next tries a further server, or ends with the door.
func (c *call) next(door string) {
	if c.sends >= maxSends {
		c.refuse(door, retryLater)
		return
	}
	c.place()
}

// serverBegan relays the first event of a run.
func (c *call) serverBegan(r *run, eventTime time.Duration) {
	c.w.after(hop, func() {
		c.r.do(relayCost, func() {
			if c.ended || c.run != r {
				return
			}
			c.r.admission.Reported(c.w.wall(), r.admitted, admission.Load{Running: r.server.running, Waiting: len(r.server.waiting), Slots: engineSlots})
			c.r.admission.FirstByte(c.w.wall(), r.admitted)
			c.answerBegun = true
			if !c.isBound {
				c.bound, c.isBound, c.knownBy = origin.Origin{Service: service, Version: r.server.entry.Version}, true, c.r.id
			}
			c.record()
			c.w.after(clientHop, func() { c.w.callerGets(c, r, eventTime) })
		})
	})
}

// record records the origin of the stream, as the product does with each event.
func (c *call) record() {
	if c.recorded || !c.stream.route.resumable {
		return
	}
	isMixed := c.r.isMixed(service)
	c.certain = c.certain || c.isCertainNow() || !isMixed && c.run.conn.allows(noSuspect)
	c.recorded = true
	c.r.recorded(c, origin.Record{ID: c.stream.id, Origin: c.bound, Doubted: !c.certain})
}

// isCertainNow reports whether the process that sent the first event is known to be of the version.
func (c *call) isCertainNow() bool {
	if c.run.conn.isVouched() {
		c.certain = true
	}
	return c.certain
}
