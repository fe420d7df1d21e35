package direct

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
	"goldcrestport/state/routing"
	"goldcrestport/transport/callerbody"
	"goldcrestport/transport/callerconn"
)

// Shares of the process's memory. Bodies and connections share one part, so that bodies get less while many
// connections are open; the rest is for the process itself and its garbage.
const (
	// bodyShare is the most that bodies may take.
	bodyShare = 0.55
	// callerShare is the most that bodies and connections may take together.
	callerShare = 0.75
	// minBodies is the number of bodies of the greatest length for which there is always memory.
	minBodies = 2
)

// bodyBudget returns the part of the process's memory that bodies may take beside so many open connections. Sizes
// are in bytes, and greatest is the limit of one body.
func bodyBudget(processMemory int64, connections int, greatest int64) int64 {
	memory := float64(processMemory)
	beside := callerShare*memory - float64(connections*(connectionBytes+callerconn.ReceiveBuffer))
	return max(int64(min(bodyShare*memory, beside)), minBodies*greatest)
}

// adjustBodyBudget fits the memory for bodies to the connections that are open.
func (r *Router) adjustBodyBudget() {
	r.bodies.SetLimit(bodyBudget(r.memory.Load(), r.callers.Open(), maxBody(r.table.Load(), r.set)))
}

// maxBody returns the limit of one body in bytes, by the configuration, if there is one, or else by the settings.
func maxBody(t *routing.Table, set settings.Direct) int64 {
	if t != nil && t.Limits().BodyBytes > 0 {
		return int64(t.Limits().BodyBytes)
	}
	return set.Callers.Body.Bytes()
}

// readBody reads the whole body: a request is sent only with all its bytes, and from then on
// its caller's disconnection is noticed.
func (c *call) readBody() *outcome.Outcome {
	limit, length := maxBody(c.table, c.r.set), c.req.ContentLength
	if length > limit {
		return tooLarge()
	}
	if length == 0 {
		return nil
	}
	if length < 0 || length > callerconn.ReceiveBuffer {
		c.leaveGate()
	}
	body, err := c.r.bodies.Open(c.bodyCaller(), length)
	if err != nil {
		return c.refuseBody(err)
	}
	c.body = body
	if err := body.Read(http.MaxBytesReader(c.w, c.req.Body, limit), length, limit); err != nil {
		c.releaseBody()
		return c.refuseBody(err)
	}
	c.bodyBytes = body.Len()
	return nil
}

// leaveGate tells the gate that the request is decided, though its body has not come: the gate counts requests that
// wait for this router, not those it waits for. A late router may not know which it is.
func (c *call) leaveGate() {
	if c.r.gate.ReadsAtOnce() {
		callerconn.Decided(c.conn())
	}
}

// bodyCaller returns the caller as the one that sends the body.
func (c *call) bodyCaller() callerbody.Caller {
	return callerbody.OnConn(c.conn(), c.team)
}

// discardBody reads on the body that was refused for its memory, which costs none, unless connections are short.
func (c *call) discardBody(refusedFor outcome.Reason) {
	if refusedFor != outcome.ReasonBodiesFull {
		return
	}
	r := c.r
	callerbody.Discard(c.w, c.req.Body, maxBody(c.table, r.set), c.deadline, func() bool {
		return r.shuttingDown.Load() || r.callers.Open() > maxKeptConnections(r.set)
	})
}

// refuseBody refuses a request whose body did not come or may not.
func (c *call) refuseBody(err error) *outcome.Outcome {
	var beyond *http.MaxBytesError
	switch {
	case errors.As(err, &beyond), errors.Is(err, callerbody.ErrTooLarge):
		return tooLarge()
	case errors.Is(err, callerbody.ErrFull):
		return notRun(outcome.ReasonBodiesFull, c.r.bodies.RetryAfter(c.req.ContentLength), "the memory for request bodies is used up")
	default:
		o := outcome.Refuse(outcome.ReasonBodyTimeout, http.StatusRequestTimeout, 0, "the body did not arrive")
		return &o
	}
}

func tooLarge() *outcome.Outcome {
	o := outcome.Refuse(outcome.ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, "the body is larger than allowed")
	return &o
}

// releaseBody gives back the memory of the body: no further send needs it.
func (c *call) releaseBody() {
	c.body.Release()
	c.body = nil
}

// hasBody reports whether the caller sent a body, even an empty one.
func (c *call) hasBody() bool {
	return c.req.ContentLength != 0 || len(c.req.Header["Content-Length"]) > 0
}
