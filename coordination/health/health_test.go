package health_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/health"
)

var epoch = time.Unix(1_000_000, 0)

func TestSuspectThresholds(t *testing.T) {
	const ok, bad, none = health.Success, health.Failure, health.NoResult
	for name, test := range map[string]struct {
		results []health.Result
		want    bool
	}{
		"no results":         {nil, false},
		"four in a row":      {[]health.Result{bad, bad, bad, bad}, false},
		"five in a row":      {[]health.Result{bad, bad, bad, bad, bad}, true},
		"cancelled ones":     {[]health.Result{bad, bad, none, none, bad, bad}, false},
		"a success between":  {[]health.Result{bad, bad, bad, ok, bad, bad}, false},
		"more than half":     {[]health.Result{ok, bad, bad, ok, bad, bad, ok, bad, bad, ok, bad, bad, ok, bad, bad, ok, bad, bad}, true},
		"a third of failure": {[]health.Result{ok, ok, bad, ok, ok, bad, ok, ok, bad, ok, ok, bad, ok, ok, bad}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := health.New(health.DefaultConfig())
			for _, r := range test.results {
				h.Record(r)
			}
			qt.Assert(t, h.Suspect(), qt.Equals, test.want)
		})
	}
}

func TestValidateNamesFieldOutOfRange(t *testing.T) {
	qt.Assert(t, health.DefaultConfig().Validate(), qt.IsNil)
	bad := health.DefaultConfig()
	bad.Successes = 0
	qt.Assert(t, bad.Validate(), qt.ErrorMatches, "Successes must be positive")
}

// For any sequence of results: one probe is in flight at a time, probes are at
// least the current delay apart, and only the configured number of consecutive
// successes readmits the server.
func TestProbesAreSequentialAndSpaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := health.DefaultConfig()
		h := health.New(cfg)
		now, nextProbe, streak := epoch, epoch.Add(cfg.FirstPause), 0
		pause := cfg.FirstPause
		h.Eject(now)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			if !h.ProbeDue(now) {
				if !now.Before(nextProbe) {
					t.Fatalf("no probe at %v though the pause ended at %v", now, nextProbe)
				}
				continue
			}
			if now.Before(nextProbe) {
				t.Fatalf("probe before the pause of %v ended", pause)
			}
			h.ProbeSent()
			if h.ProbeDue(now.Add(time.Hour)) {
				t.Fatal("two probes at once")
			}
			r := rapid.SampledFrom([]health.Result{health.NoResult, health.Success, health.Failure}).Draw(t, "result")
			h.ProbeEnded(now, r)
			switch r {
			case health.Success:
				streak++
			case health.Failure:
				streak = 0
				pause = min(2*pause, cfg.LongestPause)
				nextProbe = now.Add(pause)
			}
			if h.Ejected() != (streak < cfg.Successes) {
				t.Fatalf("ejected %v after %d successes in a row", h.Ejected(), streak)
			}
			if !h.Ejected() {
				return
			}
		}
	})
}

func TestUnreachableServerIsSuspectImmediately(t *testing.T) {
	tr, now := health.New(health.DefaultConfig()), time.Unix(1000, 0)
	tr.Record(health.Success)
	tr.Record(health.Unreachable)
	qt.Check(t, tr.Suspect(), qt.IsTrue)
	tr.Eject(now)
	tr.ProbeSent()
	tr.ProbeEnded(now.Add(time.Second), health.Unreachable)
	qt.Check(t, tr.ProbeDue(now.Add(2*time.Second)), qt.IsFalse)
	qt.Check(t, tr.ProbeDue(now.Add(3*time.Second)), qt.IsTrue)
}
