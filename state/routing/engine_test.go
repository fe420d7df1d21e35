package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Expected value: 370,000 Mbit/s are 46.25 MB per millisecond, which is 2,509
// tokens of 18,432 bytes. The rate is 0 if either figure is missing.
func TestFetchRateIsTokensPerMillisecond(t *testing.T) {
	rate := Engine{TokenBytes: 18432, LinkMbps: 370000}.FetchRate()
	qt.Check(t, rate > 2509 && rate < 2510, qt.IsTrue, qt.Commentf("%v", rate))
	qt.Check(t, Engine{TokenBytes: 18432}.FetchRate(), qt.Equals, 0.0)
	qt.Check(t, Engine{LinkMbps: 370000}.FetchRate(), qt.Equals, 0.0)
}

// Only routes that have the service as a target and define an objective count.
func TestShortestObjectiveIsTakenFromRoutesToTheService(t *testing.T) {
	to := func(services ...string) (out []Target) {
		for _, name := range services {
			out = append(out, Target{Service: name, Weight: 1})
		}
		return out
	}
	c := &Config{Routes: []Route{
		{Objective: 2 * time.Second, Targets: to("llm")},
		{Objective: time.Second, Targets: to("other", "llm")},
		{Objective: 150 * time.Millisecond, Targets: to("app")},
		{Targets: to("llm")},
	}}
	qt.Check(t, c.ShortestObjective("llm"), qt.Equals, time.Second)
	qt.Check(t, c.ShortestObjective("app"), qt.Equals, 150*time.Millisecond)
	qt.Check(t, c.ShortestObjective("none"), qt.Equals, time.Duration(0))
}
