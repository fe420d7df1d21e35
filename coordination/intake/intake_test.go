package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestValidateNamesFieldOutOfRange(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	bad := DefaultConfig()
	bad.MaxWindow, bad.MinRate = 100, 0
	qt.Check(t, bad.Validate(), qt.ErrorMatches, "(?s).*MaxWindow.*")
}

// A router that reads at once knows that a connection on which nothing waits is one whose caller has sent nothing.
func TestReadsAtOnceFollowsTheLateness(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultConfig())
	now := time.Unix(1000, 0)
	c.Check(s.ReadsAtOnce(), qt.IsTrue)
	for range 20 {
		now = now.Add(25 * time.Millisecond)
		s.Observe(now, 8*time.Millisecond, false)
	}
	c.Check(s.ReadsAtOnce(), qt.IsFalse)
	for range 20 {
		now = now.Add(25 * time.Millisecond)
		s.Observe(now, time.Millisecond, false)
	}
	c.Check(s.ReadsAtOnce(), qt.IsTrue)
}

// flow is the connections of a team in a second.
type flow struct {
	team      string
	perSec    int
	overShare bool
}

// play simulates connections from an offset on for a time span, at a router that decides on
// perSec a second, and returns how many a second were read of each team in the second half.
func play(s *State, from, span time.Duration, perSec float64, flows ...flow) map[string]float64 {
	const step = 5 * time.Millisecond
	now := time.Unix(1000, 0).Add(from)
	read, due := make(map[string]float64), make(map[string]float64)
	var backlog []string
	budget := 0.0
	for at := time.Duration(0); at < span; at += step {
		now = now.Add(step)
		for _, f := range flows {
			due[f.team] += float64(f.perSec) * step.Seconds()
			for ; due[f.team] >= 1; due[f.team]-- {
				if !s.Limiting() && !s.HasRoom() {
					continue // it stays in the kernel's accept queue, and is given up
				}
				if _, admitted := s.Admit(now, f.team, f.overShare); admitted {
					backlog = append(backlog, f.team)
					if at >= span/2 {
						read[f.team] += 1 / (span / 2).Seconds()
					}
				}
			}
		}
		budget = min(budget+perSec*step.Seconds(), 5)
		for ; len(backlog) > 0 && budget >= 1; budget-- {
			s.Decided(backlog[0])
			backlog = backlog[1:]
		}
		if (at/step)%5 == 0 {
			s.Observe(now, 0, false)
		}
	}
	for _, team := range backlog {
		s.Decided(team)
	}
	return read
}

// Guards against a flooded router that closes all new connections for seconds: it must keep
// reading about as many as it can decide on.
func TestLateRouterReadsAtCapacity(t *testing.T) {
	got := play(New(DefaultConfig()), 0, 10*time.Second, 200, flow{team: "flood", perSec: 3000})
	qt.Check(t, got["flood"] > 140 && got["flood"] < 230, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against connections that are closed unread because of another team's flood.
func TestFloodDoesNotCloseConnectionsOfOtherTeams(t *testing.T) {
	got := play(New(DefaultConfig()), 0, 10*time.Second, 200, flow{team: "flood", perSec: 3000}, flow{team: "a", perSec: 30}, flow{team: "b", perSec: 40})
	qt.Check(t, got["a"] > 28, qt.IsTrue, qt.Commentf("%v", got))
	qt.Check(t, got["b"] > 38, qt.IsTrue, qt.Commentf("%v", got))
	qt.Check(t, got["flood"] > 80, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against a team beyond its share that displaces one below its share.
func TestTeamBelowItsShareIsReadFirst(t *testing.T) {
	got := play(New(DefaultConfig()), 0, 10*time.Second, 200, flow{"beyond", 2000, true}, flow{"below", 1000, false})
	qt.Check(t, got["below"] > 120, qt.IsTrue, qt.Commentf("%v", got))
	qt.Check(t, got["beyond"] < 40, qt.IsTrue, qt.Commentf("%v", got))
}

// A router that falls behind closes some new connections before it is saturated, but admits
// others throughout, so that it never refuses all of them while it reports that it is
// ready.
func TestRouterThatFallsBehindLimitsAndRecovers(t *testing.T) {
	s, now := New(DefaultConfig()), time.Unix(1000, 0)
	observe := func(late, span time.Duration) {
		for range span / (25 * time.Millisecond) {
			now = now.Add(25 * time.Millisecond)
			s.Observe(now, late, false)
		}
	}
	observe(5*time.Millisecond, time.Second)
	qt.Check(t, s.Limiting(), qt.IsFalse)
	observe(35*time.Millisecond, time.Second)
	qt.Check(t, s.Limiting(), qt.IsTrue)
	_, admitted := s.Admit(now, "a", false)
	qt.Check(t, admitted, qt.IsTrue)
	s.Decided("a")
	observe(5*time.Millisecond, 200*time.Millisecond)
	_, admitted = s.Admit(now, "a", false)
	qt.Check(t, admitted, qt.IsTrue)
	observe(5*time.Millisecond, 2*time.Second)
	qt.Check(t, s.Limiting(), qt.IsFalse)
}

// After a flood all connections are read again.
func TestAllConnectionsAreReadAfterFlood(t *testing.T) {
	s := New(DefaultConfig())
	play(s, 0, 5*time.Second, 200, flow{team: "flood", perSec: 3000})
	qt.Check(t, s.Limiting(), qt.IsTrue)
	got := play(s, 5*time.Second, 6*time.Second, 200, flow{team: "a", perSec: 100})
	qt.Check(t, s.Limiting(), qt.IsFalse)
	qt.Check(t, got["a"] > 98, qt.IsTrue, qt.Commentf("%v", got))
}

// A router whose streams are full reads few requests, since it would refuse them.
func TestConnectionsThatWouldBeRefusedAreNotRead(t *testing.T) {
	s := New(DefaultConfig())
	play(s, 0, 5*time.Second, 200, flow{team: "flood", perSec: 3000})
	now, read := time.Unix(1005, 0), 0
	s.Observe(now, 0, true)
	for range 100 {
		for range 100 {
			if _, admitted := s.Admit(now, "flood", false); admitted {
				read++
				s.Decided("flood")
			}
		}
		now = now.Add(50 * time.Millisecond)
		s.Observe(now, 0, true)
	}
	qt.Check(t, float64(read) < 1.5*5*DefaultConfig().MinRate, qt.IsTrue, qt.Commentf("%d in 5 s", read))
}

// The number of undecided connections stays within the window, however many arrive.
func TestUndecidedConnectionsAreBounded(t *testing.T) {
	s, now := New(DefaultConfig()), time.Unix(1000, 0)
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		for range 50 {
			if s.Limiting() || s.HasRoom() {
				s.Admit(now, "flood", false)
			}
		}
		s.Observe(now, 0, false)
		qt.Assert(t, s.undecided <= DefaultConfig().MaxUndecided, qt.IsTrue)
		if i > 20 && s.undecided > DefaultConfig().MaxWindow-4 {
			for range 4 {
				s.Decided("flood")
			}
		}
		if i > 100 {
			qt.Assert(t, s.undecided <= DefaultConfig().MaxWindow, qt.IsTrue, qt.Commentf("%d", i))
		}
	}
}

// The number of team names is bounded, whoever connects.
func TestTeamsAreBounded(t *testing.T) {
	s := New(DefaultConfig())
	for i := range 2000 {
		s.Admit(time.Unix(1000, 0), string(rune('a'+i)), false)
	}
	qt.Check(t, len(s.teams) <= DefaultConfig().MaxTeams+1, qt.IsTrue)
}

// Guards against places in the window that are never released: a team that was counted
// under the common name got a name of its own while its connection was undecided.
func TestPlacesAreReleasedUnderNameOfAdmission(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxTeams = 1
	s, now := New(cfg), time.Unix(1000, 0)
	first, _ := s.Admit(now, "a", false)
	second, _ := s.Admit(now, "b", false)
	s.Decided(first)
	for range 200 {
		now = now.Add(cfg.Interval)
		s.Observe(now, 0, false)
	}
	third, _ := s.Admit(now, "b", false)
	s.Decided(second)
	s.Decided(third)
	for name, team := range s.teams {
		qt.Check(t, team.undecided, qt.Equals, 0, qt.Commentf("%q", name))
	}
}
