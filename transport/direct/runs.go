package direct

import (
	"slices"
	"strings"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/roster"
)

// server returns the server with the id, as the store has it.
func (r *Router) server(id string) (roster.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.servers[id]
	return s, known
}

func (r *Router) runEnded(run *admission.Run, result health.Result) {
	r.mu.Lock()
	changed := r.admission.Ended(time.Now(), run, result)
	var ejected []string
	if changed {
		ejected = r.admission.Ejected()
	}
	r.mu.Unlock()
	if changed {
		r.event("ejection", "server", run.Server(), "ejected", slices.Contains(ejected, run.Server()), "all_ejected", strings.Join(ejected, ","))
	}
}

// handleReply processes the head of the answer to a request.
func (r *Router) handleReply(run *admission.Run, reply Reply, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !reply.OtherServer {
		identity := roster.Identity(run.Server(), run.Incarnation())
		r.quarantine.Alive(now, identity)
		r.parts.Alive(now, identity)
	}
	switch {
	case reply.OtherServer:
		r.admission.Refused(now, run)
	case reply.RetryAfter > 0:
		r.recordBackoff(now, run, reply.RetryAfter, request)
	case reply.NotRun:
		r.admission.Refused(now, run)
	}
	if reply.Load != (admission.Load{}) {
		r.admission.Reported(now, run, reply.Load)
	}
	if !reply.NotRun && !reply.OtherServer {
		if r.admission.FirstByte(now, run) {
			r.logBackoffEnded(now, run)
		}
		if late, known := run.FirstTokenError(); known {
			r.metrics.firstTokenError.Record(run.Service(), now, late.Abs())
		}
	}
}

// recordGenerated records the length of a complete answer.
func (r *Router) recordGenerated(run *admission.Run, tokens int) {
	if tokens == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.Generated(run, tokens)
}
