package router

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/observe"
)

// requestObserver records the spans, metrics and log line of one request. Only
// the request's handler uses it. A nil requestObserver records nothing.
type requestObserver struct {
	r        *Router
	id       string
	team     string
	service  string
	attempts uint32
	started  time.Time
	queuedAt time.Time

	// ctx carries the span of the whole request.
	ctx      context.Context
	span     trace.Span
	queue    trace.Span
	dispatch trace.Span
}

// newObserver starts to observe a request.
func (r *Router) newObserver(req *http.Request) *requestObserver {
	t := &requestObserver{r: r, id: uuid.NewString(), started: time.Now()}
	ctx := r.tracer.Enter(req.Context(), req.Header.Get("Traceparent"))
	t.ctx, t.span = r.tracer.Start(ctx, observe.SpanReceive, trace.SpanKindServer,
		attribute.String("request.id", t.id))
	return t
}

// queued records that the request was passed to the dispatcher.
func (t *requestObserver) queued() {
	if t == nil {
		return
	}
	t.queuedAt = time.Now()
	_, t.queue = t.r.tracer.Start(t.ctx, observe.SpanQueue, trace.SpanKindInternal)
}

// sent records that an attempt is sent to a sidecar and adds the trace context
// to its start message.
func (t *requestObserver) sent(start *wire.RunStart, sidecar string) {
	if t == nil {
		return
	}
	t.attempts++
	if t.attempts == 1 {
		now := time.Now()
		t.r.metrics.queueWait.Record(t.service, now, now.Sub(t.queuedAt))
	}
	endSpan(&t.queue)
	ctx, span := t.r.tracer.Start(t.ctx, observe.SpanDispatch, trace.SpanKindClient,
		attribute.String("sidecar", sidecar), attribute.Int("attempt", int(t.attempts)))
	t.dispatch = span
	start.Traceparent = observe.Traceparent(ctx)
}

// returned records the end of an attempt.
func (t *requestObserver) returned() {
	if t != nil {
		endSpan(&t.dispatch)
	}
}

// answered records the first byte of the answer to the caller.
func (t *requestObserver) answered() {
	if t == nil {
		return
	}
	now := time.Now()
	t.r.metrics.firstByte.Record(t.service, now, now.Sub(t.started))
}

// ended records the request's one outcome.
func (t *requestObserver) ended(o outcome.Outcome) {
	if t == nil {
		return
	}
	now := time.Now()
	m := t.r.metrics
	m.outcomes.Add(string(o.Kind), 1)
	if o.Reason != "" {
		m.reasons.Add(string(o.Reason), 1)
	}
	if o.Kind != outcome.NotRun {
		m.latency.Record(t.service, now, now.Sub(t.started))
	}
	t.log(o, now)
	endSpan(&t.queue)
	endSpan(&t.dispatch)
	if t.span.IsRecording() {
		t.span.SetAttributes(attribute.String("team", t.team), attribute.String("service", t.service),
			attribute.String("outcome", string(o.Kind)), attribute.String("reason", string(o.Reason)))
	}
	t.span.End()
}

// log writes the request's log line. Identical refusals are rate limited.
func (t *requestObserver) log(o outcome.Outcome, now time.Time) {
	dropped := 0
	if o.Kind == outcome.NotRun {
		allowed, n := t.r.logLimit.Allow(string(o.Reason)+" "+t.team+" "+t.service, now)
		if !allowed {
			return
		}
		dropped = n
	}
	leveled := level.Info
	if o.Kind == outcome.Failed || o.Kind == outcome.Unknown {
		leveled = level.Warn
	}
	line := []any{"event", "request_ended", "request", t.id, "trace", observe.TraceID(t.ctx),
		"team", t.team, "service", t.service, "outcome", o.Kind, "reason", o.Reason,
		"attempts", t.attempts, "us", now.Sub(t.started).Microseconds()}
	if dropped > 0 {
		line = append(line, "like_this_dropped", dropped)
	}
	_ = leveled(log.Logger(t.r.log)).Log(line...)
}

// endSpan ends the span if there is one, and clears it so that it ends once.
func endSpan(span *trace.Span) {
	if *span != nil {
		(*span).End()
		*span = nil
	}
}
