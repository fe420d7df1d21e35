package latency

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestHopsFromSpans(t *testing.T) {
	c, dir := quicktest.New(t), t.TempDir()
	line := func(name, from, to string) string {
		return `{"Name":"` + name + `","SpanContext":{"TraceID":"t1"},"StartTime":"2026-01-01T00:00:00.` + from +
			`Z","EndTime":"2026-01-01T00:00:00.` + to + `Z"}` + "\n"
	}
	router := "ts=1 event=serving\n" + line("router.receive", "000000", "001000") +
		line("router.queue", "000100", "000150") + line("router.dispatch", "000150", "000950")
	sidecar := line("sidecar.run", "000300", "000800") + line("sidecar.backend_call", "000320", "000770")
	for name, text := range map[string]string{"router": router, "sidecar": sidecar} {
		c.Assert(os.WriteFile(filepath.Join(dir, name+".log"), []byte(text), 0o600), quicktest.IsNil)
	}
	requests, err := readSpans(dir, "router", "sidecar")
	c.Assert(err, quicktest.IsNil)
	var medians []float64
	for _, hop := range hops(requests) {
		medians = append(medians, hop.Median)
	}
	c.Check(medians, quicktest.DeepEquals, []float64{150, 50, 300, 50, 450})
}

func TestQuantile(t *testing.T) {
	c := quicktest.New(t)
	times := []time.Duration{3 * time.Microsecond, time.Microsecond, 2 * time.Microsecond, 4 * time.Microsecond}
	c.Check(quantile(times, 0.5), quicktest.Equals, 3.0)
	c.Check(quantile(times, 0.99), quicktest.Equals, 4.0)
	c.Check(quantile(nil, 0.5), quicktest.Equals, 0.0)
	c.Check(Options{}.Validate(), quicktest.IsNotNil)
}
