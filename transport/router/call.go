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

// decisionQueueSize is the capacity of one request's channel of decisions.
const decisionQueueSize = 4

// call is one caller's request while it is in flight in the router.
type call struct {
	id        string
	request   dispatch.Request
	start     *wire.RunStart
	body      []byte
	decisions chan decision
	started   time.Time
	// onOutcome is called with the outcome before it is written to the caller;
	// nil if no idempotency key is claimed.
	onOutcome func(outcome.Outcome)
	// runCtx is the context of the run if it outlives the caller's.
	runCtx context.Context

	// core decides how the request continues when an attempt is interrupted.
	core *attempt.State
	// attempts is the number of attempts sent, and the number of the last one.
	attempts uint32
	relay    *relay
	observer *requestObserver
}

// newCore returns the state machine that decides on the request's attempts.
func (c *call) newCore() *attempt.State {
	return attempt.New(attempt.DefaultConfig(), attempt.Request{
		Idempotent: c.start.Idempotent,
		Deadline:   c.request.Deadline,
	})
}

// serve dispatches the request until it has its one outcome.
func (r *Router) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	c.core = c.newCore()
	c.relay = newRelay(w, c.id, r.metrics)
	c.relay.observer = c.observer
	r.dispatcher.post(r.ctx, message{call: c, event: dispatch.Arrived{Request: c.request}})
	for {
		select {
		case <-ctx.Done():
			r.dispatcher.post(r.ctx, message{event: dispatch.Cancelled{ID: c.id}})
			r.finish(w, c, queueCancelledOutcome(ctx, c))
			return
		case d := <-c.decisions:
			if d.refuse != nil {
				r.finish(w, c, unknownIfMayHaveRun(c, refusal(*d.refuse)))
				return
			}
			o, again := r.runAttempt(c.runContext(ctx), c, d)
			if again {
				r.dispatcher.post(r.ctx, message{event: c.redispatchEvent(d)})
				continue
			}
			r.reportEnd(c, d, o)
			r.finish(w, c, o)
			return
		}
	}
}

// statusClientClosed is logged for a caller that disconnected; it is never
// received by anyone.
const statusClientClosed = 499

// queueCancelledOutcome returns the outcome of a request whose context ended
// while it was queued. If the caller disconnected, the outcome is only counted
// and logged.
func queueCancelledOutcome(ctx context.Context, c *call) outcome.Outcome {
	if errors.Is(context.Cause(ctx), errStopping) {
		return unknownIfMayHaveRun(c, outcome.Refuse(outcome.ReasonLeaving, http.StatusServiceUnavailable, retryAfterNotRun, "this router stops"))
	}
	return unknownIfMayHaveRun(c, outcome.Refuse(outcome.ReasonCancelled, statusClientClosed, 0, "the caller went away"))
}

// unknownIfMayHaveRun returns the refusal o, or unknown if an earlier attempt of
// the request may have run: not-run is reported only when it is certain.
func unknownIfMayHaveRun(c *call, o outcome.Outcome) outcome.Outcome {
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

// refusal maps the dispatch core's reason to an outcome.
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

// finish writes the outcome if the answer has not started; an interrupted
// answer is aborted so that it never looks complete.
func (r *Router) finish(w http.ResponseWriter, c *call, o outcome.Outcome) {
	c.observer.ended(o)
	if c.onOutcome != nil {
		c.onOutcome(o)
	}
	if o.Kind == outcome.Completed {
		return
	}
	if c.relay.wrote {
		// net/http recovers this panic and aborts the response.
		panic(http.ErrAbortHandler)
	}
	outcome.Write(w, c.id, o)
}
