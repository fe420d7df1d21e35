package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"goldcrestport/transport/observe"
)

// safeBuffer is a buffer for concurrent writers.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// traceStore stores the spans of a fleet in memory.
type traceStore struct {
	exporter *tracetest.InMemoryExporter
	tracers  []*observe.Tracer
}

func (ts *traceStore) tracer(role string) *observe.Tracer {
	t := observe.TracerTo(ts.exporter, role, role, 1)
	ts.tracers = append(ts.tracers, t)
	return t
}

// spansOf waits for the spans of a trace, which end a little after the answer.
func (ts *traceStore) spansOf(t *testing.T, traceID string, want int) map[string]tracetest.SpanStub {
	out := map[string]tracetest.SpanStub{}
	for range 500 {
		for _, tracer := range ts.tracers {
			qt.Assert(t, tracer.Flush(context.Background()), qt.IsNil)
		}
		clear(out)
		for _, s := range ts.exporter.GetSpans() {
			if s.SpanContext.TraceID().String() == traceID {
				out[s.Name] = s
			}
		}
		if len(out) == want {
			return out
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("got the spans %v", out)
	return nil
}

func TestSpansOfOneRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	seen := make(chan string, 1)
	b := newBackend(t, warm(func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Traceparent") }))
	lines, spans := &safeBuffer{}, &traceStore{exporter: tracetest.NewInMemoryExporter()}
	f := newFleet(t)
	f.logger, f.tracer = log.NewLogfmtLogger(log.NewSyncWriter(lines)), spans.tracer
	f.sidecar("sidecar-1", b.URL)
	f.start()
	const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	req := f.request(http.MethodPost, lookupPath, "body")
	req.Header.Set("Traceparent", "00-"+traceID+"-"+callerSpan+"-01")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)

	got := spans.spansOf(t, traceID, 5)
	id := func(name string) string { return got[name].SpanContext.SpanID().String() }
	for name, parent := range map[string]string{
		observe.SpanReceive:  callerSpan,
		observe.SpanQueue:    id(observe.SpanReceive),
		observe.SpanDispatch: id(observe.SpanReceive),
		observe.SpanSidecar:  id(observe.SpanDispatch),
		observe.SpanBackend:  id(observe.SpanSidecar),
	} {
		c.Check(got[name].Parent.SpanID().String(), qt.Equals, parent, qt.Commentf(name))
		c.Check(got[name].EndTime.Before(got[name].StartTime), qt.IsFalse)
	}
	c.Check(<-seen, qt.Equals, "00-"+traceID+"-"+id(observe.SpanBackend)+"-01")
	for _, event := range []string{"request_ended", "run_ended"} {
		c.Check(lines.String(), qt.Matches, `(?s).*event=`+event+` request=`+resp.Header.Get("Goldcrest-Request-Id")+` trace=`+traceID+` .*`)
	}
}

// Guards against undocumented metrics: every metric that the router publishes is
// in docs/METRICS.md. The summaries include the warm-up request.
func TestMetricsAreDocumented(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	b := newBackend(t, warm(func(http.ResponseWriter, *http.Request) {}))
	f := newFleet(t)
	f.sidecar("sidecar-1", b.URL)
	f.start()
	for name := range f.vars() {
		c.Check(strings.Contains(string(page), "`"+name+"`"), qt.IsTrue, qt.Commentf(name))
	}
	for _, name := range []string{"router_latency_us", "router_first_byte_us", "router_queue_wait_us"} {
		// The end of the request is counted a little after the answer.
		var summaries map[string]observe.Summary
		for i := 0; i < 100 && summaries["ledger"].Count == 0; i++ {
			time.Sleep(pollInterval)
			c.Assert(json.Unmarshal(f.vars()[name], &summaries), qt.IsNil)
		}
		c.Check(summaries["ledger"].Count > 0, qt.IsTrue, qt.Commentf(name))
	}
}

// vars returns the router's metrics.
func (f *fleet) vars() map[string]json.RawMessage {
	resp, err := http.Get(f.ops + "/debug/vars")
	qt.Assert(f.t, err, qt.IsNil)
	defer resp.Body.Close()
	var all map[string]json.RawMessage
	qt.Assert(f.t, json.NewDecoder(resp.Body).Decode(&all), qt.IsNil)
	return all
}
