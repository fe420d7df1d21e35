package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"goldcrestport/coordination/attempt"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// Limits of the exchange with one sidecar.
const (
	// maxBodyMessage is the maximum size of one request body message, in bytes.
	maxBodyMessage = 1 << 20
	// settleTimeout bounds one settle query about an attempt.
	settleTimeout = time.Second
	// cancelTimeout is how long a stream stays open after the caller is gone, so
	// that the cancel message can reach the sidecar.
	cancelTimeout = time.Second
	// deadlineGrace is how long after the request's deadline the stream stays
	// open, so that the end message of the sidecar can still arrive.
	deadlineGrace = 2 * time.Second
)

// sentAttempt is one attempt that was sent to a sidecar.
type sentAttempt struct {
	c    *call
	addr string
	// attempt identifies the attempt and the sidecar incarnation that it was
	// sent to.
	attempt *wire.Attempt
	sent    time.Time
}

// streamResult describes how one stream of an attempt ended.
type streamResult struct {
	state relayState
	// sent is false only if the start message was certainly not sent.
	sent bool
}

// runAttempt sends one attempt and follows it until it ends. It returns true
// if the request must be dispatched again.
func (r *Router) runAttempt(ctx context.Context, c *call, d decision) (outcome.Outcome, bool) {
	if !time.Now().Before(c.request.Deadline) {
		// A router process that was frozen resumes with stale decisions. An
		// attempt that starts now would be cancelled at once, with no way to
		// find out whether it ran.
		return unknownIfMayHaveRun(c, outcome.Refuse(outcome.ReasonDeadline, http.StatusServiceUnavailable, retryAfterNotRun,
			"the deadline passed before the request was sent")), false
	}
	c.attempts++
	f := &sentAttempt{
		c:       c,
		addr:    d.addr,
		attempt: &wire.Attempt{RequestId: c.id, Number: c.attempts, Incarnation: d.incarnation},
		sent:    time.Now(),
	}
	c.relay.expect(c.attempts, d.incarnation)
	start := proto.CloneOf(c.start)
	start.Attempt = f.attempt
	start.Pull = d.send.Pull
	start.Revision = r.revision()
	start.DeadlineMs = max(time.Until(c.request.Deadline).Milliseconds(), 1)
	c.observer.sent(start, d.send.Sidecar)
	defer c.observer.returned()
	res := r.stream(ctx, f, start, c.body)
	for {
		switch res.state {
		case relayDeclined:
			return outcome.Outcome{}, true
		case relayCallerGone:
			return cancelledOutcome(ctx), false
		case relayEnded:
			return r.endedOutcome(c)
		}
		act := r.settle(ctx, f, res)
		switch act := act.(type) {
		case attempt.Resume:
			res = r.stream(ctx, f, resumeOf(start, c.relay.offset), nil)
		case attempt.Redispatch:
			return outcome.Outcome{}, true
		case attempt.Finish:
			if ctx.Err() != nil {
				return cancelledOutcome(ctx), false
			}
			return finishOutcome(act), false
		}
	}
}

func resumeOf(start *wire.RunStart, offset int64) *wire.RunStart {
	return &wire.RunStart{Attempt: start.Attempt, Router: start.Router, Resume: true, FromOffset: offset}
}

// cancelledOutcome returns the outcome of an attempt that was cancelled while
// it ran, because its caller disconnected or the router's stop bound passed.
func cancelledOutcome(ctx context.Context) outcome.Outcome {
	if errors.Is(context.Cause(ctx), errStopping) {
		return outcome.Outcome{
			Kind:   outcome.Unknown,
			Reason: outcome.ReasonLeaving,
			Status: http.StatusBadGateway,
			Detail: "the router stopped while the request ran",
		}
	}
	return outcome.Outcome{
		Kind:   outcome.Unknown,
		Reason: outcome.ReasonCancelled,
		Status: statusClientClosed,
		Detail: "the caller went away while the request ran",
	}
}

// stream opens one stream of the attempt and relays its messages.
func (r *Router) stream(ctx context.Context, f *sentAttempt, start *wire.RunStart, body []byte) streamResult {
	// The stream outlives the caller's context until a cancel message is sent
	// to the sidecar: the run would go on if the link just closed.
	sctx, cancel := context.WithDeadline(r.ctx, f.c.request.Deadline.Add(deadlineGrace))
	defer cancel()
	s, err := r.pool.Sidecar(sctx, f.addr).Run(sctx)
	if err != nil {
		return streamResult{state: relayBroken, sent: start.Resume}
	}
	defer s.Close()
	watch := r.watchSilence(f, cancel)
	defer watch.stop()
	stop := context.AfterFunc(ctx, func() {
		time.AfterFunc(cancelTimeout, cancel)
		_ = s.Send(&wire.RunUp{Kind: &wire.RunUp_Cancel{Cancel: &wire.RunCancel{}}})
	})
	defer stop()
	if sendStart(s, start, body) != nil {
		return streamResult{state: callerGoneOr(ctx, relayBroken), sent: true}
	}
	return streamResult{state: r.relay(ctx, f, s, watch), sent: true}
}

// callerGoneOr returns relayCallerGone if ctx has ended, else s.
func callerGoneOr(ctx context.Context, s relayState) relayState {
	if ctx.Err() != nil {
		return relayCallerGone
	}
	return s
}

// sendStart sends the start message with the beginning of the body, then the
// rest of the body in messages of at most maxBodyMessage bytes.
func sendStart(s wire.DRPCSidecar_RunClient, start *wire.RunStart, body []byte) error {
	first := min(len(body), maxBodyMessage)
	start.Body, start.BodyRest = body[:first], int64(len(body)-first)
	if err := s.Send(&wire.RunUp{Kind: &wire.RunUp_Start{Start: start}}); err != nil {
		return err
	}
	for rest := body[first:]; len(rest) > 0; {
		n := min(len(rest), maxBodyMessage)
		up := &wire.RunUp{Kind: &wire.RunUp_Body{Body: &wire.RunBody{Data: rest[:n]}}}
		if err := s.Send(up); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// relay passes the messages of the stream to the caller until it ends.
func (r *Router) relay(ctx context.Context, f *sentAttempt, s wire.DRPCSidecar_RunClient, watch *silenceWatch) relayState {
	for {
		watch.arm(f.c.relay.offset)
		down, err := s.Recv()
		watch.disarm()
		if err != nil {
			return callerGoneOr(ctx, relayBroken)
		}
		state := f.c.relay.handle(down)
		if state == relayCallerGone {
			_ = s.Send(&wire.RunUp{Kind: &wire.RunUp_Cancel{Cancel: &wire.RunCancel{}}})
		}
		if state != relayOpen {
			return state
		}
		if offset, due := f.c.relay.ackDue(); due {
			_ = s.Send(&wire.RunUp{Kind: &wire.RunUp_Ack{Ack: &wire.RunAck{Offset: offset}}})
		}
	}
}

// endedOutcome maps the attempt's end message to an outcome. It returns true
// if the request must be dispatched again.
func (r *Router) endedOutcome(c *call) (outcome.Outcome, bool) {
	end := c.relay.end
	kind := outcome.Kind(end.Outcome)
	if kind == outcome.Completed && c.relay.complete() {
		return outcome.Outcome{Kind: outcome.Completed, Status: http.StatusOK}, false
	}
	reason := outcome.Reason(end.Reason)
	var act attempt.Action
	switch {
	case kind == outcome.NotRun && !c.relay.wrote && reason == outcome.ReasonBackend:
		act = c.core.Step(time.Now(), attempt.BackendNotRun{})
	case kind == outcome.Unknown && reason == outcome.ReasonBackend:
		act = c.core.Step(time.Now(), attempt.BackendUnknown{Delivered: c.relay.wrote})
	case kind == outcome.NotRun && !c.relay.wrote:
		return unknownIfMayHaveRun(c, outcome.Refuse(reason, http.StatusServiceUnavailable, retryAfterNotRun, "the request was not sent to the backend server")), false
	default:
		return incompleteOutcome(kind, reason), false
	}
	if _, again := act.(attempt.Redispatch); again {
		return outcome.Outcome{}, true
	}
	return finishOutcome(act.(attempt.Finish)), false
}

// incompleteOutcome returns the outcome of an attempt that ran without a
// complete answer.
func incompleteOutcome(kind outcome.Kind, reason outcome.Reason) outcome.Outcome {
	if kind != outcome.Unknown {
		kind = outcome.Failed
	}
	status := http.StatusBadGateway
	if reason == outcome.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return outcome.Outcome{
		Kind:   kind,
		Reason: reason,
		Status: status,
		Detail: "the backend server did not give a whole answer",
	}
}

// retryAfterNotRun is the Retry-After hint for a request that certainly did not
// run.
const retryAfterNotRun = time.Second

// finishOutcome returns the outcome for the core's decision to finish.
func finishOutcome(f attempt.Finish) outcome.Outcome {
	reason, detail := outcome.ReasonLinkLost, "the link to the backend server was lost"
	switch f.Cause {
	case attempt.AnswerLost:
		reason, detail = outcome.ReasonAnswerLost, "the request ran, but its answer is not kept any more"
	case attempt.BackendServer:
		reason, detail = outcome.ReasonBackend, "the backend server gave no answer"
	}
	if f.Kind == attempt.WasNotRun {
		return outcome.Refuse(reason, http.StatusServiceUnavailable, retryAfterNotRun, detail+"; the request was not run")
	}
	return outcome.Outcome{
		Kind:   outcome.Unknown,
		Reason: reason,
		Status: http.StatusBadGateway,
		Detail: detail + "; the request may have run",
	}
}
