package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/completeness"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/resumption"
	"goldcrestport/state/eventstream"
	"goldcrestport/state/teamuse"
	"goldcrestport/transport/answermemory"
	"goldcrestport/transport/backend"
)

// relay relays an answer to the caller.
func (c *call) relay(ctx context.Context, answer *backend.Answer, reply Reply, events *eventstream.Follower) (step, health.Result, error) {
	success := isSuccess(answer.Status)
	switch {
	case c.answerBegun:
		if !success || !reply.Marked {
			return broken, health.Failure, errors.Newf("the stream could not be resumed: %d", answer.Status)
		}
		return c.relayEvents(ctx, answer, events)
	case success && !reply.Marked:
		return failed, health.Failure, errors.New("success response without the server's mark")
	case c.isStream(answer):
		return c.relayEvents(ctx, answer, events)
	case answer.Length <= maxBufferedBody:
		return c.relayWhole(ctx, answer, success)
	default:
		return c.relayBytes(ctx, answer)
	}
}

// resultAfter classifies a server whose answer broke off: neither a caller's disconnection nor
// the server's own shutdown counts against it.
func resultAfter(ctx context.Context, err error) health.Result {
	if ctx.Err() != nil || errors.Is(err, backend.ErrServerLeft) {
		return health.NoResult
	}
	return health.Failure
}

// errNotWhole is the failure of an answer that ended without an error but is incomplete.
var errNotWhole = errors.New("the answer ended before it was complete")

// brokeOff returns the step after an incomplete answer, and its error: io.EOF stands for an
// end without an error.
func (c *call) brokeOff(ctx context.Context, err error) (step, health.Result, error) {
	if errors.Is(err, io.EOF) {
		err = errNotWhole
	}
	if c.answerBegun {
		return broken, resultAfter(ctx, err), err
	}
	return failed, resultAfter(ctx, err), err
}

// relayWhole reads the answer to its end before any of it is relayed, unless it is too long to be held.
func (c *call) relayWhole(ctx context.Context, answer *backend.Answer, success bool) (step, health.Result, error) {
	held := c.r.answerMemory.Hold()
	defer held.Release()
	body, ended, err := readHeld(answer, &held)
	if err != nil {
		c.judgeEnd(ctx, answer, nil)
		return c.brokeOff(ctx, err)
	}
	mayRepeat := !success && answer.Status >= http.StatusInternalServerError && c.mayRepeatError()
	if !ended && !mayRepeat {
		c.head(answer, answer.Length)
		_, _ = c.w.Write(body)
		held.Release()
		return c.relayRest(ctx, answer)
	}
	if ended && c.judgeEnd(ctx, answer, nil) == completeness.Broken {
		return c.brokeOff(ctx, io.EOF)
	}
	if mayRepeat {
		return failed, health.Failure, errors.Mark(errors.Newf("the server answered %d", answer.Status), errAnswered)
	}
	c.head(answer, int64(len(body)))
	_, _ = c.w.Write(body)
	c.answerCompleted(answer)
	if success || answer.Status < http.StatusInternalServerError {
		return done, health.Success, nil
	}
	return done, health.Failure, nil
}

// readHeld reads the answer until it ends, or until no more of it may be held: then ended is false, and the rest is
// to be read.
func readHeld(answer *backend.Answer, held *answermemory.Hold) (body []byte, ended bool, err error) {
	size := firstHeld
	if answer.Length >= 0 {
		size = int(answer.Length)
	}
	if size > firstHeld && !held.Resize(int64(size)) {
		return nil, false, nil
	}
	body = make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size = min(max(2*cap(body), firstHeld), maxBufferedBody)
			if len(body) >= size || !held.Resize(int64(size)) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, true, err
		}
	}
}

// mayRepeatError reports whether a server's error should be retried at another server; the
// last server's error is relayed unchanged.
func (c *call) mayRepeatError() bool {
	return c.route.MayRepeat() && c.reached < c.route.Attempts && c.sent < maxSends && c.left() > c.route.Objective/2 && c.r.hasOtherServer(c)
}

// relayBytes relays a long answer as it arrives.
func (c *call) relayBytes(ctx context.Context, answer *backend.Answer) (step, health.Result, error) {
	c.head(answer, answer.Length)
	return c.relayRest(ctx, answer)
}

// relayRest relays what is left of the answer as it arrives.
func (c *call) relayRest(ctx context.Context, answer *backend.Answer) (step, health.Result, error) {
	answer.Widen()
	buf := make([]byte, relayBuffer)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if _, writeErr := c.w.Write(buf[:n]); writeErr != nil {
				return c.callerLost(writeErr)
			}
		}
		if err == nil {
			continue
		}
		if c.judgeEnd(ctx, answer, nil) == completeness.Broken {
			return c.brokeOff(ctx, err)
		}
		c.answerCompleted(answer)
		return done, health.Success, nil
	}
}

// relayEvents relays whole events as they arrive.
func (c *call) relayEvents(ctx context.Context, answer *backend.Answer, events *eventstream.Follower) (step, health.Result, error) {
	events.Restart()
	flusher := http.NewResponseController(c.w)
	buf := make([]byte, relayBuffer)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			out, notNext := events.Take(buf[:n])
			if writeErr := c.forward(flusher, answer, events, out); writeErr != nil {
				return c.callerLost(writeErr)
			}
			if notNext != nil {
				c.judgeEnd(ctx, answer, events)
				c.logBroken()
				return c.brokeOff(ctx, notNext)
			}
			if err == nil {
				c.gather(ctx)
			}
		}
		if err != nil {
			return c.streamEnded(ctx, answer, events, err)
		}
	}
}

// minGather is the shortest delay for which a timer is worth its cost.
const minGather = 5 * time.Millisecond

// gather waits for further events so that several are sent in one write: on small instances
// each write and wake-up costs more than the event.
func (c *call) gather(ctx context.Context) {
	wait := c.r.gatherTime()
	if wait < minGather {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *call) forward(flusher *http.ResponseController, answer *backend.Answer, events *eventstream.Follower, out []byte) error {
	if len(out) == 0 {
		return nil
	}
	events.PassedOn(time.Now())
	c.pause = events.Pause()
	if !c.answerBegun {
		c.bindAnswer()
		c.head(answer, -1)
	}
	c.recordStream(answer)
	if _, err := c.w.Write(out); err != nil {
		return err
	}
	if err := flusher.Flush(); err != nil {
		return err
	}
	c.countRelayed()
	return nil
}

// streamEnded completes a stream that is whole, or handles one that broke off.
func (c *call) streamEnded(ctx context.Context, answer *backend.Answer, events *eventstream.Follower, err error) (step, health.Result, error) {
	if c.judgeEnd(ctx, answer, events) == completeness.Broken {
		return c.brokeOff(ctx, err)
	}
	if !c.answerBegun {
		c.head(answer, -1)
	}
	_, _ = c.w.Write(events.Rest())
	if isSuccess(answer.Status) {
		c.countRelayed()
	}
	c.answerCompleted(answer)
	return done, health.Success, nil
}

func (c *call) callerLost(err error) (step, health.Result, error) {
	c.stream.door = resumption.CallerLeft
	c.logEnd("caller_lost: "+err.Error(), 0, 0)
	c.r.metrics.outcomes.Add("caller_lost", 1)
	c.closeConnection()
	return done, health.NoResult, nil
}

// head writes the answer's status and headers. Length is that of the body, or -1 if it is
// unknown.
func (c *call) head(answer *backend.Answer, length int64) {
	h := c.w.Header()
	for name, values := range c.r.dialect.Incoming(answer.Header) {
		h[name] = values
	}
	if length >= 0 && c.req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if h.Get("Content-Type") == "" {
		// Without this net/http would guess a type and add it.
		h["Content-Type"] = nil
	}
	c.keepAlive()
	c.answerBegun, c.callerFraming = true, c.framingFor(length)
	c.w.WriteHeader(answer.Status)
}

// answerCompleted finishes an answer that was written whole.
func (c *call) answerCompleted(answer *backend.Answer) {
	c.delivered = deliveredWhole
	c.r.metrics.completed(c)
	c.r.leaving.completed(time.Now(), c.route.Name, time.Since(c.received))
	if c.tokens > 0 && answer.Status < http.StatusBadRequest {
		c.r.teams.Count(func(t *teamuse.Table) { t.Delivered(c.team, c.tokens) })
	}
	c.logCompleted(answer.Status)
}

// hasOtherServer reports whether the service has a server that the call has not tried and that
// accepts requests.
func (r *Router) hasOtherServer(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return r.admission.HasOther(now, admission.Request{Service: c.service, Avoid: c.avoid, Bound: c.bound(now)})
}
