package sidecar

import (
	"context"
	"expvar"
	"time"

	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/observe"
)

// metrics are published under /debug/vars; docs/METRICS.md documents them.
type metrics struct {
	vars     *observe.Vars
	outcomes *expvar.Map
	declined *expvar.Map
	wait     *observe.Times
	run      *observe.Times
	share    *shareMetrics
	// Bytes of messages to and from routers and peers that do not belong to a
	// request.
	controlIn  *expvar.Int
	controlOut *expvar.Int
	// Number of runs started and time of the last start. The time from a drain
	// to the last new start is derived from lastStart and the log line of the
	// drain.
	starts    *expvar.Int
	lastStart *expvar.Int
	// Orders to the engine: remaining ones and those sent.
	ordersLeft *expvar.Int
	ordersSent *expvar.Int
}

func newMetrics(s *Sidecar) *metrics {
	v := observe.NewVars()
	v.Func("sidecar_held", func() any { return s.inFlight.Load() })
	return &metrics{
		vars:     v,
		outcomes: v.Map("sidecar_outcomes"),
		declined: v.Map("sidecar_declined"),
		wait:     v.Times("sidecar_wait_us"),
		run:      v.Times("sidecar_run_us"),
		share:    newShareMetrics(v),

		controlIn:  v.Int("sidecar_control_bytes_in"),
		controlOut: v.Int("sidecar_control_bytes_out"),

		starts:     v.Int("sidecar_starts"),
		lastStart:  v.Int("sidecar_last_start_unix_ms"),
		ordersLeft: v.Int("sidecar_orders_left"),
		ordersSent: v.Int("sidecar_orders_sent"),
	}
}

// control counts the bytes of control messages.
func (m *metrics) control(in, out int) {
	m.controlIn.Add(int64(in))
	m.controlOut.Add(int64(out))
}

// SetTracer sets the tracer of the runs. It must be called before Serve.
func (s *Sidecar) SetTracer(t *observe.Tracer) { s.tracer = t }

// startRun records the queueing time of a run that was given a slot and starts
// its span.
func (s *Sidecar) startRun(ctx context.Context, a *attempt) (context.Context, trace.Span) {
	now := time.Now()
	s.metrics.wait.Record(s.set.Service, now, now.Sub(a.received))
	ctx = s.tracer.Enter(ctx, a.start.Traceparent)
	return s.tracer.Start(ctx, observe.SpanSidecar, trace.SpanKindServer,
		attribute.String("request.id", a.start.Attempt.RequestId),
		attribute.String("team", a.start.Team),
		attribute.Int64("wait_us", now.Sub(a.received).Microseconds()))
}

// endRun records metrics and a log line for a finished run and ends its span.
func (s *Sidecar) endRun(ctx context.Context, span trace.Span, a *attempt, end *wire.End, start time.Time) {
	now := time.Now()
	s.metrics.outcomes.Add(end.Outcome, 1)
	s.metrics.run.Record(s.set.Service, now, now.Sub(start))
	withLevel := level.Info
	if end.Outcome != string(outcome.Completed) {
		withLevel = level.Warn
	}
	_ = withLevel(s.log).Log("event", "run_ended", "request", a.start.Attempt.RequestId,
		"trace", observe.TraceID(ctx), "team", a.start.Team, "router", a.start.Router,
		"attempt", a.start.Attempt.Number, "outcome", end.Outcome, "reason", end.Reason,
		"cost", end.Cost, "us", end.BackendUs)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("outcome", end.Outcome), attribute.Float64("cost", end.Cost))
	}
	span.End()
}

// startCall starts the span of the call to the backend server and passes the
// trace context on to it.
func (s *Sidecar) startCall(ctx context.Context, a *attempt) (context.Context, trace.Span) {
	ctx, span := s.tracer.Start(ctx, observe.SpanBackend, trace.SpanKindClient)
	a.start.Traceparent = observe.Traceparent(ctx)
	return ctx, span
}
