package direct

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/roster"
	"goldcrestport/transport/callerconn"
)

// Reasons for not sending a request that was already placed.
var (
	errTooLate        = errors.New("the send time for a cold server has passed")
	errServerGone     = errors.New("the server left")
	errBackoff        = errors.New("the server requested a back-off")
	errDeadlinePassed = errors.New("the request's deadline passed")
	// errCallerLeft concerns the caller, not the server.
	errCallerLeft = errors.New("the caller left")
)

// mayBegin returns why the request must not be sent, or nil. Opening a connection takes time
// between the decision and the first byte, and a busy router runs other requests meanwhile, so
// the states of the caller and the server are checked again.
func (c *call) mayBegin(run *admission.Run, server roster.Server) error {
	switch {
	case c.left() <= 0:
		return errDeadlinePassed
	case callerconn.HasEnded(c.conn()):
		return errCallerLeft
	default:
		return c.r.mayBegin(run, server)
	}
}

// mayBegin returns why a request must not go to the server, or nil.
func (r *Router) mayBegin(run *admission.Run, server roster.Server) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if by := run.SendBy(); !by.IsZero() && time.Now().After(by) {
		return errTooLate
	}
	if now, known := r.servers[server.ID]; !known || now.Incarnation != server.Incarnation || now.Version != server.Version {
		return errServerGone
	}
	if !r.mayRely(server) {
		return errStale
	}
	if !r.admission.MaySend(time.Now(), run) {
		return errBackoff
	}
	return nil
}

// checkHead processes the head of an answer that arrived on the request's connection and reports
// whether it belongs to the request. One that does not was still sent by the same process, so
// what it says about the server is valid.
func (c *call) checkHead(server roster.Server, status int, h http.Header) (own bool) {
	if c.r.dialect.Own(h, c.meta.ID) {
		return true
	}
	c.applyAnnouncement(server, c.r.dialect.Reply(status, h))
	return false
}

// applyAnnouncement processes what an answer says about the server itself. An answer of
// another server at the same address says nothing about it.
func (c *call) applyAnnouncement(server roster.Server, reply Reply) {
	if reply.Invalid != "" {
		c.r.logInvalidAnswer(server, reply.Invalid)
	}
	if !reply.Leaving || reply.OtherServer {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.apply(c.r.roster.ShutdownAnnounced(server.ID, server.Incarnation), "said_to", c.meta.ID)
}

// logInvalidAnswer records that a server sent information about itself that cannot be parsed.
func (r *Router) logInvalidAnswer(server roster.Server, what string) {
	r.metrics.invalidAnswers.Add(1)
	if allowed, dropped := r.completedLines.Allow("invalid_answer", time.Now()); allowed {
		r.event("invalid_answer", "server", server.ID, "incarnation", server.Incarnation, "text", what, "left_out", dropped)
	}
}

// drainingServers returns the servers that announced to this router that they are draining,
// for gossip to the other routers. The caller holds mu.
func (r *Router) drainingServers() []admission.ServerID {
	var out []admission.ServerID
	for _, one := range r.roster.AnnouncedServers() {
		out = append(out, admission.NumberOf(one.ID, one.Incarnation))
	}
	return out
}

// receiveDraining applies another router's message about draining servers. The caller holds mu.
func (r *Router) receiveDraining(router string, servers []admission.ServerID) {
	for _, number := range servers {
		if id, incarnation, known := r.admission.ServerByNumber(number); known {
			r.apply(r.roster.ShutdownReported(time.Now(), id, incarnation), "said_to", router)
		}
	}
}
