package router

import (
	"net/http"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
)

// again is the event that dispatches a request again: after a decline for
// free, after a lost or failed attempt within the retry budget.
func (c *call) again(d decision) dispatch.Event {
	if c.relay.declined {
		return dispatch.Declined{ID: c.id, Sidecar: d.send.Sidecar}
	}
	return dispatch.Failed{ID: c.id, Sidecar: d.send.Sidecar, Retry: true}
}

// unstarted returns the pull of an attempt that was decided on after the
// request's handler had left, 0 for none. Only then may it be called.
func (c *call) unstarted() uint64 {
	select {
	case d := <-c.decisions:
		if d.send != nil {
			return d.send.Pull
		}
	default:
	}
	return 0
}

// result is the event that tells how the backend server did, or nil if the
// outcome says nothing of it.
func (c *call) result(d decision, o outcome.Outcome) dispatch.Event {
	switch {
	case o.Kind == outcome.Completed && c.relay.status < http.StatusInternalServerError:
		return dispatch.Succeeded{ID: c.id, Sidecar: d.send.Sidecar}
	case o.Kind == outcome.Completed, o.Reason == outcome.ReasonBackend, o.Reason == outcome.ReasonLinkLost:
		return dispatch.Failed{ID: c.id, Sidecar: d.send.Sidecar}
	}
	return nil
}

// ended posts the result of the last attempt and the end of the request.
func (r *Router) ended(c *call, d decision, o outcome.Outcome) {
	if ev := c.result(d, o); ev != nil {
		r.dispatcher.post(r.ctx, message{event: ev})
	}
	r.dispatcher.post(r.ctx, message{event: dispatch.Ended{ID: c.id, Cost: c.relay.end.GetCost()}})
}
