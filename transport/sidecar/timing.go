package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"goldcrestport/coordination/limit"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/duty"
)

// timedBody measures the arrival times of the tokens of a streamed response.
// Only the time spent in Read counts, so that a slow caller does not look like a
// slow engine.
type timedBody struct {
	*trackedBody
	limits *limits
	// waited is the time spent in Read since the last token.
	waited   time.Duration
	hasToken bool
}

// timeTokens returns the response's body, with its tokens timed if it is
// streamed.
func (l *limits) timeTokens(body *trackedBody, start time.Time) io.Reader {
	if !body.isStream {
		return body
	}
	return &timedBody{trackedBody: body, limits: l, waited: time.Since(start)}
}

// Read implements io.Reader.
func (t *timedBody) Read(p []byte) (int, error) {
	start, before := time.Now(), t.position.Count()
	n, err := t.trackedBody.Read(p)
	t.waited += time.Since(start)
	if tokens := t.position.Count() - before; tokens > 0 {
		t.record(int64(tokens))
	}
	return n, err
}

// record records n tokens that arrived together.
func (t *timedBody) record(n int64) {
	m := sample{first: !t.hasToken, time: t.waited, n: 1}
	if t.hasToken {
		m.time, m.n = t.waited/time.Duration(n), n
	}
	t.hasToken, t.waited = true, 0
	select {
	case t.limits.samples <- m:
	default:
		t.limits.vars.dropped.Add(1)
	}
}

// runStarted reports the start of a run.
func (l *limits) runStarted(ctx context.Context, a *attempt) {
	l.post(ctx, runEvent{run: a.key, team: a.start.Team})
}

// runEnded reports how a run ended.
func (l *limits) runEnded(ctx context.Context, a *attempt, end *wire.End) {
	l.post(ctx, runEvent{run: a.key, team: a.start.Team, ended: true, result: resultOf(end, a.status)})
}

// post sends an event to the event loop, blocking while its queue is full.
func (l *limits) post(ctx context.Context, e runEvent) {
	duty.Post(ctx, l.runs, e)
}

// resultOf returns what the end of a run indicates about the backend server's
// health.
func resultOf(end *wire.End, status int) limit.Result {
	switch {
	case end.Outcome == string(outcome.Completed) && status >= http.StatusInternalServerError:
		return limit.ErrorAnswer
	case end.Outcome == string(outcome.Completed):
		return limit.Answered
	case end.Reason == string(outcome.ReasonBackend):
		return limit.NoAnswer
	}
	return limit.NoResult
}
