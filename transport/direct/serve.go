package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/outcome"
	"goldcrestport/state/routing"
	"goldcrestport/state/teamuse"
	"goldcrestport/transport/callerbody"
	"goldcrestport/transport/callerconn"
	"goldcrestport/transport/observe"
)

// call is the state of one request of a caller.
type call struct {
	r       *Router
	w       http.ResponseWriter
	req     *http.Request
	meta    Meta
	table   *routing.Table
	route   *routing.Route
	service string
	team    string
	// body is nil if there is none, and once no further send needs it; bodyBytes is its size.
	body      *callerbody.Body
	bodyBytes int
	// fingerprint is the fingerprint of the request, equal for every attempt of the caller; 0
	// until the body is read.
	fingerprint quarantine.Fingerprint
	// received is when the request arrived, whether or not it was read at once.
	received time.Time
	// unread is how long it waited unread at this router.
	unread time.Duration
	// deadline is when the caller must have its final answer.
	deadline time.Time

	// elapsed is the time since the caller's first attempt, if this is a retry.
	elapsed time.Duration
	// firstByte is when the answer started.
	firstByte time.Time
	// decidedAt is when the last decision was made.
	decidedAt time.Time
	// pause is the longest time between two events of the answer.
	pause time.Duration
	// reached counts the servers that may have run the request, and sent those that it was
	// sent to.
	reached int
	sent    int
	// arrived means that the last send reached a server.
	arrived bool
	avoid   []string
	last    admission.Decision
	// tokens is the size of the request; 0 for plain services.
	tokens float64
	// refusedFor is the reason of the refusal, if the request was refused.
	refusedFor outcome.Reason
	// countedStarted means that the request was counted as started for its team.
	countedStarted bool
	// answerBegun means that a part of the answer was relayed.
	answerBegun bool
	// server is the one that the request was last sent to.
	server roster.Server
	// stream is what is known of the stream that the request starts or resumes.
	stream stream
	// isolation restricts the servers of a request whose parts are suspected of crashing them.
	isolation *admission.Isolation
	// answer is how the last answer of a server ended; nil before the first one.
	answer *answerEnd
	// delivered is the form in which the caller received the answer, and callerFraming its
	// framing; both are empty before the answer started.
	delivered, callerFraming string
}

// serve handles one request until its final answer.
func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.metrics.requests.Add(1)
	traced, span := r.tracer.Start(r.tracer.Enter(req.Context(), req.Header.Get("Traceparent")), observe.SpanReceive, trace.SpanKindServer)
	defer span.End()
	req = req.WithContext(traced)
	c := &call{r: r, w: w, req: req, meta: r.dialect.Meta(req.Header), received: time.Now()}
	c.unread = c.unreadTime()
	c.received = c.received.Add(-c.unread)
	if r.unready.Load() {
		// Idle connections stay open until the end: closing one while a caller sends on it
		// would leave the caller with an unknown outcome.
		w.Header().Set("Connection", "close")
	}
	defer c.endResumed()
	defer c.releaseBody()
	if o := c.admit(); o != nil {
		c.refuse(*o)
		c.discardBody(o.Reason)
		return
	}
	if c.isSwept() || c.hasDisconnected() {
		c.callerLeft()
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	stop := context.AfterFunc(r.ending, cancel)
	defer stop()
	c.dispatch(ctx)
}

// notRun returns a refusal that asks the caller to retry.
func notRun(reason outcome.Reason, after time.Duration, detail string) *outcome.Outcome {
	o := outcome.Refuse(reason, http.StatusServiceUnavailable, after, detail)
	return &o
}

// unreadTime returns how long the request waited unread at this router: as the kernel reports
// it or, if it reports nothing, since the connection was accepted, limited to what the
// router's lateness explains, as a caller may open its connection before it needs it. A router
// that is not late reads later requests of a connection at once.
func (c *call) unreadTime() time.Duration {
	if !c.r.isLate() && !c.r.callers.IsFirst(c.conn()) {
		return 0
	}
	late := unreadPerLate * time.Duration(c.r.load.meanLateness.Load())
	return max(callerconn.SinceData(c.conn()), min(c.r.callers.SinceAccepted(c.conn(), c.received), late))
}

// tooLate refuses a request whose caller waits no longer; nothing of it ran.
func tooLate() *outcome.Outcome {
	return notRun(outcome.ReasonDeadline, 0, "the time limit passed before the request was sent to a backend server")
}

// admit finds the route and the team, and reads the body.
func (c *call) admit() *outcome.Outcome {
	r := c.r
	c.table = r.table.Load()
	if c.table == nil {
		return notRun(outcome.ReasonNoConfig, staleRetryAfter, "no configuration yet")
	}
	if o := c.identify(); o != nil {
		return o
	}
	c.deadline = c.received.Add(c.timeLeft())
	if !c.isTaken() {
		return leavingRefusal()
	}
	if c.left() <= 0 {
		return tooLate()
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.deadline)
	_ = rc.SetWriteDeadline(c.deadline.Add(outcomeSlack))
	if o := c.readBody(); o != nil {
		return o
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.fingerprint = quarantine.Of(c.team, c.req.Method, c.req.Host, c.req.RequestURI, c.body.Parts()...)
	c.service = c.route.Pick(rand.Float64())
	c.elapsed = r.elapsed(c)
	return nil
}

// identify finds the route and the team of the request.
func (c *call) identify() *outcome.Outcome {
	c.route = c.table.Route(c.req.Host, c.req.URL.Path)
	if c.route == nil {
		return c.refuseUnknown(outcome.ReasonUnknownPath, http.StatusNotFound, "no route for this host and path")
	}
	c.countStream()
	if c.route.Public || c.table.Teams() == 0 {
		return nil
	}
	team := c.table.Team(c.meta.Key)
	if team == nil {
		return c.refuseUnknown(outcome.ReasonUnauthorized, http.StatusUnauthorized, "no team has this key")
	}
	c.team = team.Name
	c.r.teams.Seen(c.callerAddress(), c.team)
	if !c.r.isFresh() {
		return c.refuseStale()
	}
	return nil
}

// refuseUnknown refuses a request that does not match the configuration; if a newer configuration
// may exist, the caller is asked to retry instead.
func (c *call) refuseUnknown(reason outcome.Reason, status int, detail string) *outcome.Outcome {
	if !c.r.isFresh() {
		return c.refuseStale()
	}
	o := outcome.Refuse(reason, status, 0, detail)
	return &o
}

func (c *call) refuseStale() *outcome.Outcome {
	return notRun(outcome.ReasonPlatform, staleRetryAfter, "the configuration cannot be shown to be the newest")
}

// timeLeft returns the maximum time that the caller may be kept waiting.
func (c *call) timeLeft() time.Duration {
	left := c.meta.TimeLeft
	if left <= 0 {
		left = defaultDeadline
	}
	if c.route.Timeout > 0 {
		left = min(left, c.route.Timeout)
	}
	return left
}

// left returns the time until the caller stops waiting.
func (c *call) left() time.Duration {
	left := time.Until(c.deadline)
	if c.meta.TimeLeft > 0 {
		left = min(left, c.meta.TimeLeft-time.Since(c.received))
	}
	return left
}

// refuse sends the caller its final answer.
func (c *call) refuse(o outcome.Outcome) {
	o.Fractional, c.refusedFor = true, o.Reason
	callerconn.Decided(c.conn())
	c.logEnd(string(o.Reason), o.Status, o.RetryAfter)
	c.r.metrics.outcomes.Add(string(o.Kind)+"/"+string(o.Reason), 1)
	if c.tokens > 0 {
		c.r.teams.Count(func(t *teamuse.Table) { t.Refused(c.team, string(o.Reason)) })
	}
	if c.r.crowded() || c.r.gate.Chooses() {
		// A refused caller retries on another connection; keeping this one would waste a
		// descriptor.
		c.w.Header().Set("Connection", "close")
	}
	if o.Status == http.StatusRequestTimeout || o.Status == http.StatusRequestEntityTooLarge || o.Reason == outcome.ReasonBodiesFull {
		c.w.Header().Set("Connection", "close")
	}
	c.keepAlive()
	outcome.Write(c.w, c.meta.ID, o)
}

// unreadPerLate is how long a request may have waited unread for each unit of the mean
// lateness: its connection, its head and its body are read one after the other.
const unreadPerLate = 6

// elapsed returns how long the caller has been waiting since its first attempt.
func (r *Router) elapsed(c *call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := unreadPerLate * time.Duration(r.load.meanLateness.Load())
	return r.returning.Elapsed(c.received, c.route.Name, c.meta.TimeLeft, late)
}
