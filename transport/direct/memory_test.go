package direct

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
	"goldcrestport/state/routing"
)

// A prompt that no engine can run is refused at once, truly and for long, and reaches none; one that fits
// is served. Each server would refuse it after a connection, and its caller would come back soon.
func TestAPromptLargerThanTheEnginesIsRefusedAtOnce(t *testing.T) {
	cfg := testConfig(1)
	cfg.Services = []routing.Service{{Name: "app", Engine: routing.Engine{Slots: 8, Memory: 1000}}}
	b := newBackend(t, "i-1", ok)
	f := start(t, cfg, b)
	got := f.call("/safe/", "large", testPrompt, "1000")
	f.Check(got.status, qt.Equals, 503)
	f.Check(got.header.Get(outcome.Header), qt.Equals, string(outcome.NotRun))
	f.Check(got.header.Get("Retry-After"), qt.Equals, "60.000")
	f.Check(got.body, qt.Contains, string(outcome.ReasonTooLargeForEngine))
	f.Check(b.runs(), qt.HasLen, 0)
	f.Check(f.call("/safe/", "fits", testPrompt, "900").status, qt.Equals, 200)
}
