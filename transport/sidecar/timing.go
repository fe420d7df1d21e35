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

// timedBody measures when the tokens of a streamed answer come. Only the time
// in Read counts, so that a slow caller does not look like a slow engine.
type timedBody struct {
	*followed
	limits *limits
	// waited since the last token.
	waited time.Duration
	any    bool
}

// timed returns the answer's body with its tokens timed if it is streamed.
func (l *limits) timed(answer *followed, began time.Time) io.Reader {
	if !answer.isStream {
		return answer
	}
	return &timedBody{followed: answer, limits: l, waited: time.Since(began)}
}

// Read implements io.Reader.
func (t *timedBody) Read(p []byte) (int, error) {
	began, before := time.Now(), t.position.Count()
	n, err := t.followed.Read(p)
	t.waited += time.Since(began)
	if tokens := t.position.Count() - before; tokens > 0 {
		t.tokens(int64(tokens))
	}
	return n, err
}

// tokens takes n tokens that came together.
func (t *timedBody) tokens(n int64) {
	m := sample{first: !t.any, time: t.waited, n: 1}
	if t.any {
		m.time, m.n = t.waited/time.Duration(n), n
	}
	t.any, t.waited = true, 0
	select {
	case t.limits.samples <- m:
	default:
		t.limits.vars.dropped.Add(1)
	}
}

// begin tells that the run starts.
func (l *limits) begin(ctx context.Context, a *attempt) {
	l.post(ctx, runEvent{run: a.key, team: a.start.Team})
}

// end tells how the run ended.
func (l *limits) end(ctx context.Context, a *attempt, end *wire.End) {
	l.post(ctx, runEvent{run: a.key, team: a.start.Team, ended: true, result: resultOf(end, a.status)})
}

// post hands an event to the duty, waiting while its ring is full.
func (l *limits) post(ctx context.Context, e runEvent) {
	duty.Post(ctx, l.runs, e)
}

// resultOf tells what the end of a run says of the backend server.
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
