package direct

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/roster"
	"goldcrestport/transport/callerconn"
)

// Reasons for which a request that was placed is not sent any more.
var (
	errTooLate = errors.New("too late for a cold server")
	errLeft    = errors.New("the server left")
	errBackoff = errors.New("the server wants no requests for a time")
	errOver    = errors.New("the time limit passed")
	// errCallerLeft is of the caller, not of the server.
	errCallerLeft = errors.New("the caller left")
)

// mayBegin returns why the request must not be sent after all, or nil. Between the
// decision and the first byte a connection is opened, and a flooded router runs other
// requests: what became of the caller and the server meanwhile counts.
func (c *call) mayBegin(run *admission.Run, server roster.Server) error {
	switch {
	case c.left() <= 0:
		return errOver
	case callerconn.HasEnded(c.conn()):
		return errCallerLeft
	default:
		return c.r.mayBegin(run, server)
	}
}

// mayBegin returns why a request must not go to the server after all, or nil.
func (r *Router) mayBegin(run *admission.Run, server roster.Server) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if by := run.SendBy(); !by.IsZero() && time.Now().After(by) {
		return errTooLate
	}
	if now, known := r.servers[server.ID]; !known || now.Incarnation != server.Incarnation {
		return errLeft
	}
	if !r.mayRely(server) {
		return errStale
	}
	if !r.admission.MaySend(time.Now(), run) {
		return errBackoff
	}
	return nil
}

// headOf takes the head of an answer that arrived at the request's connection, and
// reports whether it is the request's. One that is not was sent by the same process,
// and what it says of itself holds all the same.
func (c *call) headOf(server roster.Server, status int, h http.Header) (own bool) {
	if c.r.dialect.Own(h, c.meta.ID) {
		return true
	}
	c.announced(server, c.r.dialect.Reply(status, h))
	return false
}

// announced takes what an answer says of the server itself. The answer of another
// server at its address says nothing of it.
func (c *call) announced(server roster.Server, reply Reply) {
	if reply.Invalid != "" {
		c.r.invalidAnswer(server, reply.Invalid)
	}
	if !reply.Leaving || reply.OtherServer {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.apply(c.r.roster.ShutdownAnnounced(server.ID, server.Incarnation), "said_to", c.meta.ID)
}

// invalidAnswer notes that what a server said of itself cannot be read.
func (r *Router) invalidAnswer(server roster.Server, what string) {
	r.metrics.invalidAnswers.Add(1)
	if allowed, dropped := r.lines.Allow("invalid_answer", time.Now()); allowed {
		r.event("invalid_answer", "server", server.ID, "incarnation", server.Incarnation, "text", what, "left_out", dropped)
	}
}

// leavingServers returns the servers that told this router itself that they leave, for the
// others. The caller holds mu.
func (r *Router) leavingServers() []admission.ServerID {
	var out []admission.ServerID
	for _, one := range r.roster.AnnouncedServers() {
		out = append(out, admission.NumberOf(one.ID, one.Incarnation))
	}
	return out
}

// toldLeaving takes another router's word on servers that leave. The caller holds mu.
func (r *Router) toldLeaving(router string, servers []admission.ServerID) {
	for _, number := range servers {
		if id, incarnation, known := r.admission.ServerByNumber(number); known {
			r.apply(r.roster.ShutdownReported(time.Now(), id, incarnation), "said_to", router)
		}
	}
}
