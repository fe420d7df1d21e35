package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/attempt"
	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// decisionRing holds the decisions that may be on the way to one request.
const decisionRing = 4

// call is one caller's request while the router holds it.
type call struct {
	id        string
	request   dispatch.Request
	start     *wire.RunStart
	body      []byte
	decisions chan decision
	began     time.Time
	// settle is called with the outcome before the caller is told; nil if no
	// key is claimed.
	settle func(outcome.Outcome)
	// run is the context of the run if it does not end with the caller's.
	run context.Context

	// core decides how the request goes on when an attempt breaks off.
	core *attempt.State
	// attempts that were made; the last one's number.
	attempts uint32
	relay    *relay
	trail    *trail
}

// newCore returns the state of the request's decisions.
func (c *call) newCore() *attempt.State {
	return attempt.New(attempt.DefaultConfig(), attempt.Request{
		Idempotent: c.start.Idempotent,
		Deadline:   c.request.Deadline,
	})
}

// serve brings the request to its one outcome.
func (r *Router) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	c.core = c.newCore()
	c.relay = newRelay(w, c.id, r.metrics)
	c.relay.trail = c.trail
	r.dispatcher.post(r.ctx, message{call: c, event: dispatch.Arrived{Request: c.request}})
	for {
		select {
		case <-ctx.Done():
			r.dispatcher.post(r.ctx, message{event: dispatch.Cancelled{ID: c.id}})
			r.finish(w, c, gaveUp(ctx, c))
			return
		case d := <-c.decisions:
			if d.refuse != nil {
				r.finish(w, c, notRunUnless(c, refusal(*d.refuse)))
				return
			}
			o, again := r.try(c.runContext(ctx), c, d)
			if again {
				r.dispatcher.post(r.ctx, message{event: c.again(d)})
				continue
			}
			r.ended(c, d, o)
			r.finish(w, c, o)
			return
		}
	}
}

// statusClientClosed is logged when the caller left; nobody receives it.
const statusClientClosed = 499

// gaveUp is the outcome of a request that waited when its context ended. If
// the caller left, nobody receives it; it is counted and logged.
func gaveUp(ctx context.Context, c *call) outcome.Outcome {
	if errors.Is(context.Cause(ctx), errLeaving) {
		return notRunUnless(c, outcome.Refuse(outcome.ReasonLeaving, http.StatusServiceUnavailable, retryAfterLost, "this router stops"))
	}
	return notRunUnless(c, outcome.Refuse(outcome.ReasonCancelled, statusClientClosed, 0, "the caller went away"))
}

// notRunUnless returns the refusal, or unknown if an earlier attempt of the
// request may have run: only what is proven may be called not-run.
func notRunUnless(c *call, o outcome.Outcome) outcome.Outcome {
	if !c.core.MayHaveRun() {
		return o
	}
	return outcome.Outcome{
		Kind:   outcome.Unknown,
		Reason: o.Reason,
		Status: http.StatusBadGateway,
		Detail: "an attempt was lost and may have run; then: " + o.Detail,
	}
}

// refusal turns the core's reason into an outcome.
func refusal(a dispatch.Refuse) outcome.Outcome {
	switch a.Reason {
	case dispatch.QueueFull:
		return outcome.Refuse(outcome.ReasonQueueFull, http.StatusTooManyRequests, a.RetryAfter, "the team's queue is full")
	case dispatch.DeadlinePassed:
		return outcome.Refuse(outcome.ReasonDeadline, http.StatusServiceUnavailable, a.RetryAfter, "the deadline passed before a backend server was free")
	case dispatch.WaitTooLong:
		return outcome.Refuse(outcome.ReasonDeadline, http.StatusServiceUnavailable, a.RetryAfter, "the estimated wait passes the deadline")
	case dispatch.RetryDenied:
		return outcome.Refuse(outcome.ReasonRetryBudget, http.StatusServiceUnavailable, a.RetryAfter, "too many attempts fail to try again")
	default:
		return outcome.Refuse(outcome.ReasonNoBackend, http.StatusServiceUnavailable, a.RetryAfter, "no backend server is known")
	}
}

// finish writes the outcome if the answer has not begun; an answer that was
// cut short is aborted so that it never looks complete.
func (r *Router) finish(w http.ResponseWriter, c *call, o outcome.Outcome) {
	c.trail.ended(o)
	if c.settle != nil {
		c.settle(o)
	}
	if o.Kind == outcome.Completed {
		return
	}
	if c.relay.wrote {
		// net/http's way to break an answer off; its server recovers it.
		panic(http.ErrAbortHandler)
	}
	outcome.Write(w, c.id, o)
}
