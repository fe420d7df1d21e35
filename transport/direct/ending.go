package direct

import (
	"context"
	"mime"
	"net/http"
	"time"

	"goldcrestport/coordination/completeness"
	"goldcrestport/coordination/resumption"
	"goldcrestport/coordination/roster"
	"goldcrestport/state/eventstream"
	"goldcrestport/state/routing"
	"goldcrestport/state/teamuse"
	"goldcrestport/transport/backend"
	"goldcrestport/transport/probe"
)

// answerEnd is how the answer of an attempt was framed and how it ended.
type answerEnd struct {
	completeness.Answer
	verdict completeness.Verdict
	// sign is the result of probing the server after an ambiguous end.
	sign completeness.Sign
	// bytes is the number of body bytes received.
	bytes int64
	// lastEvent is the id of the last whole event; empty for none.
	lastEvent string
}

// noAnswer is logged for a request that got no answer from any server.
const noAnswer = "none"

// framingText returns how the answer was framed and how it ended.
func (e *answerEnd) framingText() string {
	if e == nil {
		return noAnswer
	}
	return e.Framing.String() + "/" + e.End.String()
}

// isAssumedWhole reports whether the answer counts as whole although nothing marked its end.
func (e *answerEnd) isAssumedWhole() bool {
	return e != nil && e.verdict == completeness.Whole && e.End != completeness.Marked
}

// deliveredWhole and deliveredCut are the forms in which a caller can receive an answer that
// started.
const (
	deliveredWhole = "whole"
	deliveredCut   = "cut"
)

// endOf returns how the answer ended as far as it was read; events is nil for a plain one.
func (c *call) endOf(answer *backend.Answer, events *eventstream.Follower) answerEnd {
	e := answerEnd{Answer: completeness.Answer{Framing: answer.Framing(), End: answer.End()}, bytes: answer.Bytes()}
	if events != nil {
		e.IsStream, e.Events, e.IsInside, e.Continues = true, events.Events(), events.IsInside(), events.Continues()
		e.lastEvent = events.LastEvent()
	}
	e.verdict = completeness.Judge(e.Answer)
	return e
}

// isStream reports whether the answer is an event stream: every success on a streaming route,
// except one whose content type says that it is a single JSON value.
func (c *call) isStream(answer *backend.Answer) bool {
	if c.route.Kind != routing.Streaming || !isSuccess(answer.Status) {
		return false
	}
	media, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err != nil || media != "application/json"
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// judgeEnd decides what the answer's end means, once no more of it is read. It counts the
// answer, and logs one that its server broke off.
func (c *call) judgeEnd(ctx context.Context, answer *backend.Answer, events *eventstream.Follower) completeness.Verdict {
	e := c.endOf(answer, events)
	if e.verdict == completeness.Unmarked {
		e.sign = c.r.probeSign(ctx, c.server)
		if e.sign == completeness.Takes && answer.HasEnded() {
			// Another process took its address.
			e.sign = completeness.Refuses
		}
		e.verdict = e.verdict.Settle(e.sign)
	}
	c.answer = &e
	c.r.metrics.answers.Add(e.framingText()+"/"+e.verdict.String(), 1)
	if e.verdict == completeness.Broken && e.End != completeness.GivenUp {
		c.logBroken()
	}
	return e.verdict
}

// probeSign probes whether the server accepts connections right after the end of an answer. The
// connection that it opens is used for the next request.
func (r *Router) probeSign(ctx context.Context, server roster.Server) completeness.Sign {
	if known, is := r.server(server.ID); !is || known.Incarnation != server.Incarnation {
		return completeness.Silent
	}
	return probe.Sign(r.pool.Probe(ctx, backend.Target{ID: server.Identity(), Address: server.Address}))
}

// logBroken logs an answer that its server broke off.
func (c *call) logBroken() {
	now := time.Now()
	allowed, dropped := c.r.attemptLines.Allow("answer_broken", now)
	if !allowed {
		return
	}
	line := []any{
		"request", c.meta.ID, "route", c.route.Name, "attempt", c.sent, "server", c.server.ID, "incarnation", c.server.Incarnation,
		"address", c.server.Address, "after_ms", now.Sub(c.received).Milliseconds(),
	}
	c.r.event("answer_broken", append(append(line, c.endKeyvals()...), "left_out", dropped)...)
}

// endKeyvals returns the log fields about the end of the last answer and the form in which the
// caller received it.
func (c *call) endKeyvals() []any {
	e := c.answer
	if e == nil {
		e = &answerEnd{}
	}
	return []any{
		"answer", c.answer.framingText(), "answer_bytes", e.bytes, "events", e.Events, "last_event", e.lastEvent, "inside_event", e.IsInside,
		"server_then", e.sign.String(), "told", c.delivered, "told_by", c.callerFraming,
	}
}

// framingFor returns the framing in which the caller gets a body of the given length; -1
// means unknown.
func (c *call) framingFor(length int64) string {
	switch {
	case length >= 0:
		return completeness.Length.String()
	case c.req.ProtoAtLeast(1, 1):
		return completeness.Chunks.String()
	default:
		return completeness.Connection.String()
	}
}

// abortAnswer closes the caller's connection, so that an incomplete answer does not look complete.
func (c *call) abortAnswer(why string) {
	c.delivered = deliveredCut
	c.logEnd("cut: "+why, 0, 0)
	c.r.metrics.outcomes.Add("cut", 1)
	c.closeConnection()
}

// reasonCallerLeft is the logged reason for a request whose caller disconnected.
const reasonCallerLeft = "caller_left"

// callerLeft ends a request whose caller disconnected. If the connection were not closed,
// net/http would answer with an empty success.
func (c *call) callerLeft() {
	c.stream.door = resumption.CallerLeft
	c.logEnd(reasonCallerLeft, 0, 0)
	if c.tokens > 0 && !c.countedStarted {
		c.r.teams.Count(func(t *teamuse.Table) { t.Refused(c.team, reasonCallerLeft) })
	}
	c.r.metrics.outcomes.Add("caller_left", 1)
	c.closeConnection()
}

func (c *call) closeConnection() {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		c.r.event("cut_failed", "request", c.meta.ID, "err", err)
		return
	}
	_ = conn.Close()
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
