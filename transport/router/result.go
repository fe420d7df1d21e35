package router

import (
	"net/http"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
)

// redispatchEvent returns the event that dispatches a request again. After a
// decline this is free; after a lost or failed attempt it counts against the
// retry budget.
func (c *call) redispatchEvent(d decision) dispatch.Event {
	if c.relay.declined {
		return dispatch.Declined{ID: c.id, Sidecar: d.send.Sidecar}
	}
	return dispatch.Failed{ID: c.id, Sidecar: d.send.Sidecar, Retry: true}
}

// unstartedPull returns the pull of an attempt that was decided on but that the
// request's handler did not receive, or 0 if there is none. It may be called
// only after the handler stopped receiving decisions.
func (c *call) unstartedPull() uint64 {
	select {
	case d := <-c.decisions:
		if d.send != nil {
			return d.send.Pull
		}
	default:
	}
	return 0
}

// backendResult returns the event that reports the success or failure of the
// backend server, or nil if the outcome says nothing about it.
func (c *call) backendResult(d decision, o outcome.Outcome) dispatch.Event {
	switch {
	case o.Kind == outcome.Completed && c.relay.status < http.StatusInternalServerError:
		return dispatch.Succeeded{ID: c.id, Sidecar: d.send.Sidecar}
	case o.Kind == outcome.Completed, o.Reason == outcome.ReasonBackend, o.Reason == outcome.ReasonLinkLost:
		return dispatch.Failed{ID: c.id, Sidecar: d.send.Sidecar}
	}
	return nil
}

// reportEnd sends the dispatcher the result of the last attempt and the end of
// the request.
func (r *Router) reportEnd(c *call, d decision, o outcome.Outcome) {
	if ev := c.backendResult(d, o); ev != nil {
		r.dispatcher.post(r.ctx, message{event: ev})
	}
	r.dispatcher.post(r.ctx, message{event: dispatch.Ended{ID: c.id, Cost: c.relay.end.GetCost()}})
}
