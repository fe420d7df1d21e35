package direct

import (
	"expvar"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/state/routing"
)

// Routes to one engine service with objectives far apart: the line and the metrics of a
// request say as what its prompt was treated, and until when it was to begin.
func TestPromptsAreTreatedBySizeWhereObjectivesAreFarApart(t *testing.T) {
	c := testConfig(1)
	c.Services = []routing.Service{{Name: "app", Engine: routing.Engine{Slots: 8}}}
	for i := range c.Routes {
		if c.Routes[i].Name == "safe" {
			c.Routes[i].Objective = 400 * time.Millisecond
		}
	}
	f := start(t, c, newBackend(t, "i-1", ok))
	f.send("/stream/", "long", "body", testPrompt, "12000")
	f.send("/safe/", "short", "body", testPrompt, "600")
	counts := map[string]string{}
	f.router.metrics.mix.placed.Do(func(kv expvar.KeyValue) { counts[kv.Key] = kv.Value.String() })
	f.Check(counts, qt.DeepEquals, map[string]string{"long_sent": "1", "short_sent": "1"})
	now := time.Now()
	f.Check(f.router.metrics.mix.estimated.Summaries(now)["long"].Count, qt.Equals, int64(1))
	f.Check(f.router.metrics.mix.actual.Summaries(now)["long"].Count, qt.Equals, int64(1))
}

// Objectives that are near each other are served as before.
func TestPromptsAreNotTreatedBySizeElsewhere(t *testing.T) {
	c := testConfig(1)
	c.Services = []routing.Service{{Name: "app", Engine: routing.Engine{Slots: 8}}}
	f := start(t, c, newBackend(t, "i-1", ok))
	f.send("/stream/", "long", "body", testPrompt, "12000")
	f.Check(f.router.metrics.mix.placed.String(), qt.Equals, "{}")
}
