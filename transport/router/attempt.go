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

// Bounds of the exchange with one sidecar.
const (
	// bodyPart is the size of one request body message at most, in bytes.
	bodyPart = 1 << 20
	// settleTimeout bounds one question about an attempt.
	settleTimeout = time.Second
	// cancelTimeout bounds the wait for a sidecar to hear of a cancel.
	cancelTimeout = time.Second
	// lateBound is how long after its deadline a request is still held, so
	// that the sidecar's own end can arrive.
	lateBound = 2 * time.Second
)

// flight is one attempt that was sent.
type flight struct {
	c    *call
	addr string
	// attempt names the attempt and the incarnation that it was sent to.
	attempt *wire.Attempt
	sent    time.Time
}

// result is how one stream of an attempt ended.
type result struct {
	state relayState
	// sent is false if the start was certainly not sent.
	sent bool
}

// try sends one attempt and brings it to its end. It returns true if the
// request must be dispatched again.
func (r *Router) try(ctx context.Context, c *call, d decision) (outcome.Outcome, bool) {
	if !time.Now().Before(c.request.Deadline) {
		// A router that was frozen wakes with old decisions. A start now would
		// be cut off at once, and nobody could say whether it ran.
		return notRunUnless(c, outcome.Refuse(outcome.ReasonDeadline, http.StatusServiceUnavailable, retryAfterLost,
			"the deadline passed before the request was sent")), false
	}
	c.attempts++
	f := &flight{
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
	c.trail.sent(start, d.send.Sidecar)
	defer c.trail.returned()
	res := r.stream(ctx, f, start, c.body)
	for {
		switch res.state {
		case relayDeclined:
			return outcome.Outcome{}, true
		case relayCallerGone:
			return abandoned(ctx), false
		case relayEnded:
			return r.concluded(c)
		}
		act := r.settle(ctx, f, res)
		switch act := act.(type) {
		case attempt.Resume:
			res = r.stream(ctx, f, resumeOf(start, c.relay.offset), nil)
		case attempt.Redispatch:
			return outcome.Outcome{}, true
		case attempt.Finish:
			if ctx.Err() != nil {
				return abandoned(ctx), false
			}
			return broken(act), false
		}
	}
}

func resumeOf(start *wire.RunStart, offset int64) *wire.RunStart {
	return &wire.RunStart{Attempt: start.Attempt, Router: start.Router, Resume: true, FromOffset: offset}
}

// abandoned is the outcome of an attempt that was given up while it ran,
// since its caller left or the router's stop bound passed.
func abandoned(ctx context.Context) outcome.Outcome {
	if errors.Is(context.Cause(ctx), errLeaving) {
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

// stream opens one stream of the attempt and relays what comes.
func (r *Router) stream(ctx context.Context, f *flight, start *wire.RunStart, body []byte) result {
	// The stream outlives the caller's context for as long as it takes to
	// tell the sidecar: a link that just ends would leave the run going.
	sctx, cancel := context.WithDeadline(r.ctx, f.c.request.Deadline.Add(lateBound))
	defer cancel()
	s, err := r.pool.Sidecar(sctx, f.addr).Run(sctx)
	if err != nil {
		return result{state: relayBroken, sent: start.Resume}
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
		return result{state: goneOr(ctx, relayBroken), sent: true}
	}
	return result{state: r.relay(ctx, f, s, watch), sent: true}
}

// goneOr returns relayCallerGone if the caller has left, else the state.
func goneOr(ctx context.Context, s relayState) relayState {
	if ctx.Err() != nil {
		return relayCallerGone
	}
	return s
}

// sendStart sends the start and the body.
func sendStart(s wire.DRPCSidecar_RunClient, start *wire.RunStart, body []byte) error {
	first := min(len(body), bodyPart)
	start.Body, start.BodyRest = body[:first], int64(len(body)-first)
	if err := s.Send(&wire.RunUp{Kind: &wire.RunUp_Start{Start: start}}); err != nil {
		return err
	}
	for rest := body[first:]; len(rest) > 0; {
		n := min(len(rest), bodyPart)
		up := &wire.RunUp{Kind: &wire.RunUp_Body{Body: &wire.RunBody{Data: rest[:n]}}}
		if err := s.Send(up); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// relay passes what the stream brings to the caller until it ends.
func (r *Router) relay(ctx context.Context, f *flight, s wire.DRPCSidecar_RunClient, watch *silence) relayState {
	for {
		watch.arm(f.c.relay.offset)
		down, err := s.Recv()
		watch.disarm()
		if err != nil {
			return goneOr(ctx, relayBroken)
		}
		state := f.c.relay.take(down)
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

// concluded turns the attempt's end into the outcome. It returns true if the
// request must be dispatched again.
func (r *Router) concluded(c *call) (outcome.Outcome, bool) {
	end := c.relay.end
	kind := outcome.Kind(end.Outcome)
	if kind == outcome.Completed && c.relay.whole() {
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
		return notRunUnless(c, outcome.Refuse(reason, http.StatusServiceUnavailable, retryAfterLost, "the request was not sent to the backend server")), false
	default:
		return cutShort(kind, reason), false
	}
	if _, again := act.(attempt.Redispatch); again {
		return outcome.Outcome{}, true
	}
	return broken(act.(attempt.Finish)), false
}

// cutShort is the outcome of an attempt that ran and gave no whole answer.
func cutShort(kind outcome.Kind, reason outcome.Reason) outcome.Outcome {
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

// retryAfterLost is the hint after a request was proven not to have run.
const retryAfterLost = time.Second

// broken is the outcome that the core decided on.
func broken(f attempt.Finish) outcome.Outcome {
	reason, detail := outcome.ReasonLinkLost, "the link to the backend server was lost"
	switch f.Cause {
	case attempt.AnswerLost:
		reason, detail = outcome.ReasonAnswerLost, "the request ran, but its answer is not kept any more"
	case attempt.BackendServer:
		reason, detail = outcome.ReasonBackend, "the backend server gave no answer"
	}
	if f.Kind == attempt.WasNotRun {
		return outcome.Refuse(reason, http.StatusServiceUnavailable, retryAfterLost, detail+"; the request was not run")
	}
	return outcome.Outcome{
		Kind:   outcome.Unknown,
		Reason: reason,
		Status: http.StatusBadGateway,
		Detail: detail + "; the request may have run",
	}
}
