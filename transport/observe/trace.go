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

// otlpPath is the default URL path of the collector for traces.
const otlpPath = "/v1/traces"

// shutdownFlushTimeout bounds the export of pending spans at shutdown.
const shutdownFlushTimeout = 2 * time.Second

// w3c encodes and decodes the W3C trace context.
var w3c = propagation.TraceContext{}

// Tracer creates the spans of one process.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
}

// NewTracer returns a tracer with the exporter from the settings. The "stdout"
// exporter writes to w.
func NewTracer(w io.Writer, role, id string, set settings.Trace) (*Tracer, error) {
	exporter, err := newExporter(w, set)
	if err != nil || exporter == nil {
		return NoTracer(), err
	}
	return TracerTo(exporter, role, id, set.Fraction), nil
}

// NoTracer returns a tracer that propagates trace contexts and records nothing.
func NoTracer() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer("")}
}

// TracerTo returns a tracer that exports spans in batches from a bounded queue
// and drops spans while the queue is full. It follows the caller's sampling
// decision; requests without one are sampled at the given fraction.
func TracerTo(exporter sdktrace.SpanExporter, role, id string, fraction float64) *Tracer {
	processResource := resource.NewSchemaless(
		attribute.String("service.name", "goldcrestport-"+role),
		attribute.String("service.instance.id", id),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(processResource),
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

// LogTraceErrors logs the errors of all exporters of this program, rate-limited
// to a few lines per second.
func LogTraceErrors(logger log.Logger) {
	lines := NewLineLimit(new(expvar.Int))
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		if allowed, _ := lines.Allow("", time.Now()); allowed {
			_ = level.Warn(logger).Log("event", "trace_export_failed", "err", err)
		}
	}))
}

// Enter continues the trace of a W3C traceparent from another process. A
// request without one gets a new trace id, so that its log lines can be
// correlated even if no spans are recorded.
func (t *Tracer) Enter(ctx context.Context, parent string) context.Context {
	if parent != "" {
		ctx = w3c.Extract(ctx, propagation.MapCarrier{traceparent: parent})
	}
	if t.provider != nil || trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	var generated trace.SpanContextConfig
	binary.LittleEndian.PutUint64(generated.TraceID[:], rand.Uint64())
	binary.LittleEndian.PutUint64(generated.TraceID[8:], rand.Uint64())
	// A span id must not be zero.
	binary.LittleEndian.PutUint64(generated.SpanID[:], rand.Uint64()|1)
	return trace.ContextWithSpanContext(ctx, trace.NewSpanContext(generated))
}

// Start starts a span. The caller must end it.
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

// Close exports the pending spans, for shutdownFlushTimeout at most.
func (t *Tracer) Close() error {
	if t.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownFlushTimeout)
	defer cancel()
	return t.provider.Shutdown(ctx)
}

// Traceparent returns the W3C traceparent to propagate.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier[traceparent]
}

// TraceID returns the trace id for log lines, empty if there is none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
