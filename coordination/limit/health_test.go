package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/limit"
)

var epoch = time.Unix(1_000_000, 0)

func TestErrorsOfOneTeamDoNotEjectServer(t *testing.T) {
	for name, test := range map[string]struct {
		teams  []string
		result limit.Result
		want   int
	}{
		"errors of one team":  {[]string{"a"}, limit.ErrorAnswer, 8},
		"errors of two teams": {[]string{"a", "b"}, limit.ErrorAnswer, 0},
		"no answer":           {[]string{"a"}, limit.NoAnswer, 0},
		"cancelled":           {[]string{"a", "b"}, limit.NoResult, 8},
		"answers":             {[]string{"a", "b"}, limit.Answered, 8},
	} {
		t.Run(name, func(t *testing.T) {
			h := limit.NewHealth(health.DefaultConfig())
			for i := range 30 {
				h.Ended(epoch, uint64(i), test.teams[i%len(test.teams)], test.result)
			}
			qt.Assert(t, h.Slots(epoch, 8), qt.Equals, test.want)
		})
	}
}

func TestEjectedServerGetsOneProbeAtATime(t *testing.T) {
	c := qt.New(t)
	h := limit.NewHealth(health.DefaultConfig())
	for i := range 5 {
		h.Ended(epoch, uint64(i), "a", limit.NoAnswer)
	}
	c.Assert(h.Slots(epoch, 8), qt.Equals, 0)
	now := epoch.Add(time.Second)
	for probe := uint64(10); probe < 13; probe++ {
		c.Assert(h.Slots(now, 8), qt.Equals, 1)
		h.Started(now, probe)
		h.Started(now, 99)
		h.Ended(now, 99, "a", limit.Answered) // not the probe: does not count
		c.Assert(h.Slots(now, 8), qt.Equals, 1)
		h.Ended(now, probe, "a", limit.Answered)
	}
	c.Assert(h.Slots(now, 8), qt.Equals, 8)
}
