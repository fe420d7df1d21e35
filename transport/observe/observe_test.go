package observe

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"goldcrestport/protocol/settings"
)

func TestLogLevels(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	l := NewLogger(&out, "router", "r1", settings.Log{Level: settings.LogInfo})
	_ = level.Debug(l).Log("event", "a")
	_ = l.Log("event", "b", "text", "two words")
	_ = level.Warn(l).Log("event", "c")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, quicktest.HasLen, 2)
	c.Check(lines[0], quicktest.Matches, `ts=\S+Z role=router id=r1 level=info event=b text="two words"`)
	c.Check(lines[1], quicktest.Matches, `ts=\S+Z role=router id=r1 level=warn event=c`)
	out.Reset()
	l = NewLogger(&out, "router", "r1", settings.Log{Level: settings.LogWarn})
	_ = l.Log("event", "b")
	c.Check(out.Len(), quicktest.Equals, 0)
}

func TestLineLimit(t *testing.T) {
	c := quicktest.New(t)
	total := new(expvar.Int)
	l := NewLineLimit(total)
	now := time.Unix(100, 0)
	for i := range 100 {
		allowed, _ := l.Allow("full a", now)
		c.Check(allowed, quicktest.Equals, i < limitBurst)
	}
	allowed, dropped := l.Allow("full b", now)
	c.Check(allowed, quicktest.IsTrue)
	c.Check(dropped, quicktest.Equals, 0)
	c.Check(total.Value(), quicktest.Equals, int64(100-limitBurst))
	allowed, dropped = l.Allow("full a", now.Add(limitInterval))
	c.Check(allowed, quicktest.IsTrue)
	c.Check(dropped, quicktest.Equals, 100-limitBurst)
	for i := range 10 * limitKeys {
		l.Allow(string(rune('a'+i)), now.Add(limitInterval))
	}
	c.Check(len(l.lines) <= limitKeys, quicktest.IsTrue)
}

func TestTimes(t *testing.T) {
	c := quicktest.New(t)
	v := NewVars()
	times, now := v.Times("latency_us"), time.Unix(1000, 0)
	for i := 1; i <= 1000; i++ {
		times.Record("llm", now, time.Duration(i)*time.Millisecond)
	}
	s := times.Summaries(now)["llm"]
	c.Check(s.Count, quicktest.Equals, int64(1000))
	for got, want := range map[int64]float64{s.P50: 500e3, s.P95: 950e3, s.P99: 990e3, s.Max: 1000e3} {
		c.Check(float64(got) > 0.98*want && float64(got) < 1.02*want, quicktest.IsTrue, quicktest.Commentf("%d for %g", got, want))
	}
	// Old values expire from the summary but still count.
	times.Record("llm", now.Add(2*time.Minute), time.Millisecond)
	s = times.Summaries(now.Add(2 * time.Minute))["llm"]
	c.Check(s.Count, quicktest.Equals, int64(1001))
	c.Check(s.Max < 1100, quicktest.IsTrue)
	for i := range 2 * maxSeries {
		times.Record(string(rune('a'+i)), now, time.Second)
	}
	c.Check(len(times.Summaries(now)) <= maxSeries+1, quicktest.IsTrue)
	w := httptest.NewRecorder()
	v.ServeHTTP(w, nil)
	var all map[string]json.RawMessage
	c.Assert(json.Unmarshal(w.Body.Bytes(), &all), quicktest.IsNil)
	for _, name := range append(v.Names(), "memstats") {
		c.Check(all[name], quicktest.Not(quicktest.HasLen), 0, quicktest.Commentf(name))
	}
}

const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0"

func TestDisabledTracerPropagatesContext(t *testing.T) {
	c, tracer := quicktest.New(t), NoTracer()
	ctx, span := tracer.Start(tracer.Enter(context.Background(), callerTraceparent+"1"), "a", trace.SpanKindServer)
	span.End()
	c.Check(Traceparent(ctx), quicktest.Equals, callerTraceparent+"1")
	c.Check(TraceID(ctx), quicktest.Equals, "0af7651916cd43dd8448eb211c80319c")
	fresh := tracer.Enter(context.Background(), "not a traceparent")
	c.Check(Traceparent(fresh), quicktest.Matches, `00-[0-9a-f]{32}-[0-9a-f]{16}-00`)
	c.Check(tracer.Close(), quicktest.IsNil)
}

func TestSampling(t *testing.T) {
	for _, tc := range []struct {
		fraction float64
		parent   string
		spans    int
	}{{0, "", 0}, {1, "", 1}, {0, callerTraceparent + "1", 1}, {1, callerTraceparent + "0", 0}} {
		c, exporter := quicktest.New(t), tracetest.NewInMemoryExporter()
		tracer := TracerTo(exporter, "router", "r", tc.fraction)
		_, span := tracer.Start(tracer.Enter(context.Background(), tc.parent), "a", trace.SpanKindServer)
		span.End()
		c.Assert(tracer.provider.ForceFlush(context.Background()), quicktest.IsNil)
		c.Check(exporter.GetSpans(), quicktest.HasLen, tc.spans, quicktest.Commentf("%+v", tc))
		c.Check(tracer.Close(), quicktest.IsNil)
	}
}

func TestStdoutExporter(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	tracer, err := NewTracer(&out, "router", "r1", settings.Trace{Exporter: settings.TraceStdout, Fraction: 1})
	c.Assert(err, quicktest.IsNil)
	_, span := tracer.Start(context.Background(), SpanReceive, trace.SpanKindServer)
	span.End()
	c.Assert(tracer.Close(), quicktest.IsNil)
	c.Check(out.String(), quicktest.Contains, SpanReceive)
}

func TestOTLPExporter(t *testing.T) {
	c := quicktest.New(t)
	paths := make(chan string, 1)
	var fails atomic.Bool
	var out bytes.Buffer
	LogTraceErrors(NewLogger(&out, "router", "r1", settings.Log{}))
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fails.Load() {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		paths <- r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type")
	}))
	defer collector.Close()
	set := settings.Trace{Exporter: settings.TraceOTLP, Endpoint: collector.URL, Fraction: 1}
	tracer, err := NewTracer(nil, "router", "r1", set)
	c.Assert(err, quicktest.IsNil)
	_, span := tracer.Start(context.Background(), SpanReceive, trace.SpanKindServer)
	span.End()
	c.Assert(tracer.Flush(context.Background()), quicktest.IsNil)
	c.Check(<-paths, quicktest.Equals, "POST /v1/traces application/x-protobuf")
	fails.Store(true)
	_, span = tracer.Start(context.Background(), SpanReceive, trace.SpanKindServer)
	span.End()
	c.Check(tracer.Close(), quicktest.IsNil)
	c.Check(out.String(), quicktest.Contains, "event=trace_export_failed")
}

func TestTraceErrorsAreLogged(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	LogTraceErrors(NewLogger(&out, "router", "r1", settings.Log{}))
	for range 100 {
		otel.Handle(errors.New("no collector"))
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Check(lines, quicktest.HasLen, limitBurst)
	c.Check(lines[0], quicktest.Matches, `.* level=warn event=trace_export_failed err="no collector"`)
}

func BenchmarkTracerOff(b *testing.B) {
	tracer := NoTracer()
	for b.Loop() {
		ctx, span := tracer.Start(tracer.Enter(context.Background(), ""), "a", trace.SpanKindServer)
		_ = Traceparent(ctx)
		span.End()
	}
}
