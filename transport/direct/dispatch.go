package direct

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/resumption"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/eventstream"
	"goldcrestport/state/routing"
	"goldcrestport/state/teamuse"
	"goldcrestport/transport/backend"
	"goldcrestport/transport/callerconn"
	"goldcrestport/transport/observe"
)

// step is what follows an attempt at one server.
type step int

// Steps after an attempt.
const (
	// done means that the caller has its final answer or has disconnected.
	done step = iota
	// refused means that the server did not run the request.
	refused
	// failed means that the request may have run and nothing of its answer was relayed.
	failed
	// broken means that a stream broke off after events were relayed.
	broken
)

// dispatch sends the request to servers until the caller has its final answer.
func (c *call) dispatch(ctx context.Context) {
	if o := c.resolveStream(ctx); o != nil {
		c.refuse(*o)
		return
	}
	defer c.endStream()
	c.r.creditRetryBudget(c.service)
	c.countDemand()
	if c.r.isBlind() {
		c.stream.door = resumption.Blind
		c.refuse(*notRun(outcome.ReasonPlatform, staleRetryAfter, "this router has too much work to know which backend servers leave"))
		return
	}
	if c.route.Kind == routing.Streaming {
		if !c.acquireStream() {
			return
		}
		defer c.releaseStream()
	}
	var events eventstream.Follower
	held := c.r.answerMemory.Hold()
	defer held.Release()
	events.SetHold(held.Resize)
	if c.route.MayRepeat() {
		events.ResumeAfter(c.meta.LastEvent)
	}
	for {
		if c.endQuarantined() {
			return
		}
		if c.reached == 0 && c.outlastsRouter() {
			c.refuse(*leavingRefusal())
			return
		}
		decision := c.placeRequest()
		c.last, c.decidedAt = decision, time.Now()
		c.r.metrics.mix.decided(decision)
		if c.sent == 0 {
			c.r.metrics.placed(c.elapsed, decision)
		}
		callerconn.Decided(c.conn())
		if decision.Verdict != admission.Send {
			c.refuseUnplaced(decision)
			return
		}
		next, err := c.attempt(ctx, decision.Run, &events)
		switch {
		case next == done:
			return
		case c.mayTryNext(ctx, next, &events):
			c.logNextServer(decision, next, err)
		default:
			c.finishFailed(ctx, next, err)
			return
		}
	}
}

// acquireStream counts the request as an open stream. It reports false if it refused the request, as the router
// relays as many streams as it can.
func (c *call) acquireStream() bool {
	if !c.r.load.acquireStream(c.team) {
		c.refuse(*notRun(outcome.ReasonConnections, busyRetryAfter, "this router passes on as many streams as it can"))
		return false
	}
	c.r.teams.Count(func(t *teamuse.Table) { t.Stream(c.team, 1) })
	return true
}

// releaseStream ends the count of acquireStream.
func (c *call) releaseStream() {
	c.r.load.releaseStream(c.team)
	c.r.teams.Count(func(t *teamuse.Table) { t.Stream(c.team, -1) })
}

// attempt sends the request to one server and relays its answer.
func (c *call) attempt(ctx context.Context, run *admission.Run, events *eventstream.Follower) (step, error) {
	result := health.NoResult
	defer func() { c.r.runEnded(run, result) }()
	left := c.left()
	if left <= 0 {
		return refused, errDeadlinePassed
	}
	c.sent++
	if c.team != "" && !c.r.isFresh() {
		return refused, errOldConfig
	}
	server, known := c.r.server(run.Server())
	if !known {
		return refused, errors.New("the server left")
	}
	if server.Incarnation != run.Incarnation() || c.stream.isBound && server.Version != c.stream.bound.Version {
		return refused, errors.New("the server restarted")
	}
	c.arrived, c.server = false, server
	c.avoid = append(c.avoid, server.ID)
	if !c.awaitFreshInfo(ctx, server) {
		return refused, errStale
	}
	c.arrived = true
	ctx, span := c.r.tracer.Start(ctx, observe.SpanBackend, trace.SpanKindClient)
	defer span.End()
	out := c.r.dialect.Outgoing(c.req.Header, Call{
		Server: server.ID, Team: c.team, TimeLeft: left, ResumeAfter: events.LastEvent(), FetchFrom: c.r.addressOf(c.last.Source),
	})
	c.resumesAt(server, events)
	sent := c.prepareSend(server)
	one := &sentAttempt{server: server, attempt: c.sent, run: sent}
	answer, failure := c.r.pool.Do(ctx, backend.Target{ID: server.Identity(), Address: server.Address}, backend.Request{
		Method: c.req.Method, URI: c.req.RequestURI, Host: c.req.Host, Header: out, Body: c.body, HasBody: c.hasBody(),
		Head:      func(status int, h http.Header) bool { return c.checkHead(server, status, h) },
		Begin:     func() error { return c.beforeFirstByte(run, one) },
		Abandoned: func(a backend.Abandoned) { c.abandoned(ctx, one, a) },
		Trust:     c.requiredTrust(),
	})
	if failure != nil {
		var next step
		var err error
		next, result, err = c.unanswered(ctx, sent, server, failure)
		return next, err
	}
	defer answer.Close()
	c.answerStarted(answer.Status)
	reply := c.r.dialect.Reply(answer.Status, answer.Header)
	c.r.handleReply(run, reply, c.meta.ID)
	c.applyAnnouncement(server, reply)
	if reply.NotRun || reply.OtherServer {
		c.r.endSend(sent, quarantine.NotRun)
		if reply.OtherServer {
			result = health.Failure
		}
		return refused, errors.Newf("the server refused with %d", answer.Status)
	}
	c.reached++
	c.answerBegins(sent, answer.Status, reply)
	if !c.route.MayRepeat() || c.reached >= c.route.Attempts {
		c.releaseBody()
	}
	var next step
	var err error
	before := events.Count()
	next, result, err = c.relay(ctx, answer, reply, events)
	c.attemptEnded(sent, server, runEnding(ctx, next, result, err))
	if next == done && result == health.Success && before == 0 {
		c.r.recordGenerated(run, events.Count()*c.eventTokens())
	}
	return next, err
}

// unanswered records an attempt that ended without an answer. It returns what follows, the result for the server's
// health, and the error, if the request may go on.
func (c *call) unanswered(ctx context.Context, sent sentRun, server roster.Server, failure *backend.Failure) (step, health.Result, error) {
	if failure.Stage != backend.NotSent {
		result := resultAfter(ctx, failure.Err)
		c.reached++
		c.attemptEnded(sent, server, runEnding(ctx, failed, result, failure.Err))
		return failed, result, failure.Err
	}
	c.arrived = false
	c.r.endSend(sent, quarantine.NotRun)
	if errors.Is(failure.Err, errCallerLeft) {
		c.callerLeft()
		return done, health.NoResult, nil
	}
	if isRefused(failure.Err) {
		c.r.serverCrashed(server)
	}
	return refused, c.r.unreached(ctx, failure.Err), failure.Err
}

// answerStarted records the time of an answer's first byte, and counts the request as started
// at its first success: an engine starts a run with its first token.
func (c *call) answerStarted(status int) {
	c.firstByte = time.Now()
	c.r.metrics.mix.started(c.firstByte, c.decidedAt, c.last)
	if c.tokens == 0 || c.countedStarted || status >= http.StatusMultipleChoices {
		return
	}
	c.countedStarted = true
	isLate := c.route.Objective > 0 && c.firstByte.Sub(c.received) > c.route.Objective
	c.r.teams.Count(func(t *teamuse.Table) { t.Begun(c.team, c.tokens, isLate) })
}

// addressOf returns the address of the server, or "" if it is unknown.
func (r *Router) addressOf(id string) string {
	server, _ := r.server(id)
	return server.Address
}

// unreached classifies a failure to open a connection. A router that reads late causes
// timeouts itself.
func (r *Router) unreached(ctx context.Context, err error) health.Result {
	var network net.Error
	isTimeout := errors.As(err, &network) && network.Timeout()
	if ctx.Err() != nil || errors.Is(err, backend.ErrWithdrawn) || isTimeout && time.Duration(r.load.meanLateness.Load()) > disconnectCheckLateness {
		return health.NoResult
	}
	return health.Unreachable
}

// mayTryNext decides whether another server is tried. Each further send of a request that arrived
// at a server draws on the fleet's retry budget; one whose connection could not be opened did
// not arrive.
func (c *call) mayTryNext(ctx context.Context, after step, events *eventstream.Follower) bool {
	if ctx.Err() != nil || c.sent >= maxSends || c.left() <= 0 {
		return false
	}
	if c.team != "" && !c.r.isFresh() {
		// The key may have been revoked while the request ran.
		return false
	}
	if after == broken && (c.route.Kind != routing.Streaming || !events.CanGoOn() || c.answerBegun && !c.stream.isCertain) {
		// A part of another run's answer must not follow the first one's.
		return false
	}
	if after != refused && (!c.route.MayRepeat() || c.reached >= c.route.Attempts) {
		return false
	}
	if c.arrived && !c.mayRetryAfterCrash() {
		return false
	}
	return !c.arrived || c.takeRetry(after)
}

// finishFailed sends the final answer after the last attempt.
func (c *call) finishFailed(ctx context.Context, after step, err error) {
	switch {
	case c.req.Context().Err() != nil && time.Now().Before(c.deadline):
		c.callerLeft()
	case c.answerBegun:
		c.abortAnswer(errText(err))
	case c.reached == 0 && after == refused && c.left() <= 0:
		c.refuse(*tooLate())
	case c.reached == 0 && after == refused:
		c.stream.door = doorAfter(err)
		c.refuse(*notRun(outcome.ReasonNoBackend, c.retryAfter(), "no backend server took the request"))
	case ctx.Err() != nil && c.r.ending.Err() != nil:
		c.fail(outcome.ReasonLeaving, http.StatusBadGateway, "this router stopped before the answer was whole")
	case ctx.Err() != nil:
		c.fail(outcome.ReasonDeadline, http.StatusGatewayTimeout, "the time limit passed while a backend server was at work")
	default:
		c.fail(outcome.ReasonAnswerLost, http.StatusBadGateway, errText(err))
	}
}

// retryAfter is the Retry-After once servers have refused.
func (c *call) retryAfter() time.Duration {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	return max(c.last.Wait, c.r.cfg.Admission.RetryAfterMin, c.r.admission.BackoffWait(time.Now(), c.service))
}

// fail answers a request that may have run.
func (c *call) fail(reason outcome.Reason, status int, detail string) {
	c.refuse(outcome.Outcome{Kind: outcome.Unknown, Reason: reason, Status: status, Detail: detail})
}
