package throttle

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1000, 0)

// Rates of two teams, one of them underserved, in tokens per second, and the size of a
// request in tokens.
const (
	testShare           = 10_000
	testUnderservedRate = 9_000
	testSize            = 100
)

// twoTeams returns the teams of a fleet in which this router gets all requests.
func twoTeams() map[string]Team {
	return map[string]Team{
		"ahead": {RequestedRate: 100_000, StartedRate: 30_000, MeanStartedRate: 30_000},
		"waits": {RequestedRate: 50_000, StartedRate: testUnderservedRate, MeanStartedRate: testUnderservedRate},
	}
}

// run lets a team request its rate for a time and returns the tokens that were sent.
func run(s *State[string], from time.Time, span time.Duration, team string, teams map[string]Team) (sent float64) {
	interval := time.Duration(testSize / teams[team].RequestedRate * float64(time.Second))
	observed := from
	for now := from; now.Before(from.Add(span)); now = now.Add(interval) {
		if now.Sub(observed) >= 50*time.Millisecond {
			observed = now
			s.Observe(now, testShare, teams)
		}
		s.Ask(now, team, testSize)
		if ok, _ := s.Admits(now, team); ok {
			s.Sent(now, team, testSize)
			sent += testSize
		}
	}
	return sent
}

func TestConfigValidateNamesInvalidFields(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	invalid := DefaultConfig()
	invalid.LeadFactor, invalid.RepayFraction = 0.5, 1
	qt.Check(t, invalid.Validate(), qt.ErrorMatches, "(?s).*(LeadFactor|RepayFraction).*")
}

// While no team is underserved, or all requests fit, no team is throttled.
func TestNoTeamIsThrottledWhileNoneIsUnderserved(t *testing.T) {
	s := New[string](DefaultConfig())
	teams := twoTeams()
	teams["waits"] = Team{RequestedRate: testUnderservedRate, StartedRate: testUnderservedRate, MeanStartedRate: testUnderservedRate}
	qt.Check(t, run(s, epoch, 4*time.Second, "ahead", teams) >= 390_000, qt.IsTrue)
	fits := New[string](DefaultConfig())
	fits.Observe(epoch, math.Inf(1), twoTeams())
	qt.Check(t, fits.Bound(), qt.Equals, math.Inf(1))
}

// A team that gets more than the underserved one is sent evenly at its rate, and the
// underserved one is not throttled.
func TestThrottledTeamGetsItsRate(t *testing.T) {
	s := New[string](DefaultConfig())
	want := DefaultConfig().LeadFactor * testUnderservedRate
	run(s, epoch, 4*time.Second, "ahead", twoTeams())
	for i := range 4 {
		sent := run(s, epoch.Add(time.Duration(4+i)*time.Second), time.Second, "ahead", twoTeams())
		qt.Check(t, sent > 0.9*want && sent < 1.1*want, qt.IsTrue, qt.Commentf("second %d: got %.0f, want %.0f", i, sent, want))
	}
	unthrottled := New[string](DefaultConfig())
	run(unthrottled, epoch, time.Second, "waits", twoTeams())
	qt.Check(t, run(unthrottled, epoch.Add(time.Second), time.Second, "waits", twoTeams()) > 30_000, qt.IsTrue)
}

// Guards against a throttle that sustains itself: teams that only the throttle keeps from
// more don't count as underserved, so that it ends when no other team is.
func TestThrottledTeamIsNotUnderserved(t *testing.T) {
	s := New[string](DefaultConfig())
	run(s, epoch, time.Second, "ahead", twoTeams())
	qt.Assert(t, math.IsInf(s.Bound(), 1), qt.IsFalse)
	teams := map[string]Team{
		"ahead": {RequestedRate: 100_000, ThrottledRate: 88_000, StartedRate: 12_000, MeanStartedRate: 12_000},
		"other": {RequestedRate: 50_000, ThrottledRate: 38_000, StartedRate: 12_000, MeanStartedRate: 12_000},
	}
	run(s, epoch.Add(time.Second), 3*time.Second, "ahead", teams)
	qt.Check(t, s.Bound(), qt.Equals, math.Inf(1))
}

// What a flood sent before any router knew of it is repaid; the team's baseline is not.
func TestBurstIsRepaid(t *testing.T) {
	balanced := twoTeams()
	balanced["waits"] = Team{RequestedRate: testUnderservedRate, StartedRate: testUnderservedRate, MeanStartedRate: testUnderservedRate}
	after := func(before time.Duration) float64 {
		s := New[string](DefaultConfig())
		run(s, epoch, before, "ahead", balanced)
		return run(s, epoch.Add(before), 2*time.Second, "ahead", twoTeams())
	}
	burst, usual := after(300*time.Millisecond), after(20*time.Second)
	qt.Check(t, burst < 0.75*usual, qt.IsTrue, qt.Commentf("%.0f after a burst, %.0f at the baseline rate", burst, usual))
}

func BenchmarkAdmits(b *testing.B) {
	s := New[string](DefaultConfig())
	run(s, epoch, time.Second, "ahead", twoTeams())
	now := epoch.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		s.Ask(now, "ahead", testSize)
		if ok, _ := s.Admits(now, "ahead"); ok {
			s.Sent(now, "ahead", testSize)
		}
	}
}
