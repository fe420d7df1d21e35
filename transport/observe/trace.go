package observe

import (
	"context"
	"encoding/binary"
	"expvar"
	"io"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"goldcrestport/protocol/settings"
)

// Names of the spans, one for each hop of a request.
const (
	SpanReceive  = "router.receive"
	SpanQueue    = "router.queue"
	SpanDispatch = "router.dispatch"
	SpanSidecar  = "sidecar.run"
	SpanBackend  = "sidecar.backend_call"
)

// traceparent is the key of the W3C trace context.
const traceparent = "traceparent"

// otlpPath is the collector's path for traces.
const otlpPath = "/v1/traces"

// flushBound bounds the export of the last spans at the end of a process.
const flushBound = 2 * time.Second

// w3c reads and writes the W3C trace context.
var w3c = propagation.TraceContext{}

// Tracer makes the spans of one process.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
}

// NewTracer returns a tracer whose spans go where the settings say. Spans for
// "stdout" are written to w.
func NewTracer(w io.Writer, role, id string, set settings.Trace) (*Tracer, error) {
	exporter, err := newExporter(w, set)
	if err != nil || exporter == nil {
		return NoTracer(), err
	}
	return TracerTo(exporter, role, id, set.Fraction), nil
}

// NoTracer returns a tracer that passes trace contexts on and records nothing.
func NoTracer() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer("")}
}

// TracerTo returns a tracer that samples the fraction of the requests whose
// caller does not say, and hands spans to the exporter in batches from a
// bounded queue. Spans that find the queue full are dropped.
func TracerTo(exporter sdktrace.SpanExporter, role, id string, fraction float64) *Tracer {
	about := resource.NewSchemaless(
		attribute.String("service.name", "goldcrestport-"+role),
		attribute.String("service.instance.id", id),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(about),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(fraction))),
	)
	return &Tracer{tracer: provider.Tracer("goldcrestport"), provider: provider}
}

func newExporter(w io.Writer, set settings.Trace) (sdktrace.SpanExporter, error) {
	switch set.Exporter {
	case settings.TraceStdout:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case settings.TraceOTLP:
		endpoint, err := url.Parse(set.Endpoint)
		if err != nil {
			return nil, errors.Wrap(err, "trace.endpoint")
		}
		if endpoint.Path == "" || endpoint.Path == "/" {
			endpoint.Path = otlpPath
		}
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(endpoint.String()))
	default:
		return nil, nil
	}
}

// LogTraceErrors sends the errors of all exporters of this program to the
// logger, a few of a kind each second.
func LogTraceErrors(logger log.Logger) {
	lines := NewLineLimit(new(expvar.Int))
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		if allowed, _ := lines.Allow("", time.Now()); allowed {
			_ = level.Warn(logger).Log("event", "trace_export_failed", "err", err)
		}
	}))
}

// Enter continues the trace of a W3C traceparent from another process. A
// request without one gets a trace id of its own, so that its log lines can
// be joined while nothing is recorded.
func (t *Tracer) Enter(ctx context.Context, parent string) context.Context {
	if parent != "" {
		ctx = w3c.Extract(ctx, propagation.MapCarrier{traceparent: parent})
	}
	if t.provider != nil || trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	var fresh trace.SpanContextConfig
	binary.LittleEndian.PutUint64(fresh.TraceID[:], rand.Uint64())
	binary.LittleEndian.PutUint64(fresh.TraceID[8:], rand.Uint64())
	// An id must not be zero.
	binary.LittleEndian.PutUint64(fresh.SpanID[:], rand.Uint64()|1)
	return trace.ContextWithSpanContext(ctx, trace.NewSpanContext(fresh))
}

// Start begins a span. It must be ended.
func (t *Tracer) Start(ctx context.Context, name string, kind trace.SpanKind, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	if t.provider == nil {
		return ctx, noop.Span{}
	}
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
}

// Flush exports the spans that have ended.
func (t *Tracer) Flush(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.ForceFlush(ctx)
}

// Close exports what is left, within a bound.
func (t *Tracer) Close() error {
	if t.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushBound)
	defer cancel()
	return t.provider.Shutdown(ctx)
}

// Traceparent returns the W3C trace context to pass on.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier[traceparent]
}

// TraceID returns the trace's id for log lines, empty if there is none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
