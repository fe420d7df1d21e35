package partquarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
)

// alone returns a router that refuses the parts 7 and 8, which always came together, since epoch.
func alone() *State {
	s := New(DefaultConfig(), "r0")
	s.Merge(epoch, Report{Refusals: []RefusalReport{{Parts: []Part{PartOf("app", 7), PartOf("app", 8)}}}})
	return s
}

func prefixes(ids ...uint64) (out []admission.Prefix) {
	for _, id := range ids {
		out = append(out, admission.Prefix{ID: id})
	}
	return out
}

// begin sends the request to the server.
func begin(s *State, server, service string, parts []admission.Prefix) *Run {
	r := s.Prepare(server, service, parts)
	s.Begin(r)
	return r
}

// run has a request answered and survive.
func run(s *State, at time.Time, ids ...uint64) {
	r := begin(s, "i-1@0", "app", prefixes(ids...))
	s.Answered(at, r)
	s.End(at.Add(10*time.Millisecond), r, quarantine.Complete)
	s.Tick(at.Add(3 * time.Second))
}

// While only crashing requests come, nothing distinguishes their parts. Those that other requests share
// are not refused by themselves.
func TestSharedPartsAreNotRefusedByThemselves(t *testing.T) {
	s := New(DefaultConfig(), "r0")
	now := epoch
	for n := range 2 * crashesMax {
		now = now.Add(time.Second)
		if s.Check(now, "app", "c", prefixes(1, 2, 7, 8)).Verdict != Pass {
			continue
		}
		server := fmt.Sprint("i-", n)
		r := begin(s, server, "app", prefixes(1, 2, 7, 8))
		s.End(now, r, quarantine.Broken)
		s.Crash(now, server)
	}
	qt.Assert(t, s.RefusedCount(), qt.Equals, 1)
	qt.Check(t, s.Check(now, "app", "c", prefixes(1, 2, 7, 8)).Verdict, qt.Equals, Refuse)
	qt.Check(t, s.Check(now, "app", "c", prefixes(1, 2, 9)).Verdict, qt.Equals, Pass)
}

// Requests with some other parts, or with other services, are served beside a refused set.
func TestOnlyTheWholeSetIsRefused(t *testing.T) {
	s := alone()
	qt.Check(t, s.Check(epoch, "app", "c", prefixes(1, 7, 8)).Verdict, qt.Equals, Refuse)
	qt.Check(t, s.Check(epoch, "app", "c", prefixes(1, 9)).Verdict, qt.Equals, Pass)
	qt.Check(t, s.Check(epoch, "other", "c", prefixes(7, 8)).Verdict, qt.Equals, Pass)
	qt.Check(t, s.Check(epoch, "app", "c", nil).Verdict, qt.Equals, Pass)
	qt.Check(t, s.MayRepeat(epoch, "app", prefixes(1, 7)), qt.IsFalse)
}

// One request with a part of the set may be sent; if it survives, the part is not refused any more.
func TestAPartOfARefusedSetIsCleared(t *testing.T) {
	s := alone()
	qt.Assert(t, s.Check(epoch, "app", "c", prefixes(1, 8)).Verdict, qt.Equals, Pass)
	run(s, epoch, 1, 8)
	qt.Check(t, s.Check(epoch.Add(3*time.Second), "app", "c", prefixes(1, 8)).Verdict, qt.Equals, Pass)
	qt.Check(t, s.Check(epoch.Add(3*time.Second), "app", "c", prefixes(1, 7)).Verdict, qt.Equals, Refuse)
}

// A refused set gets a bounded number of probes, from one router of the fleet.
func TestProbesAreLimitedAndOfOneRouter(t *testing.T) {
	for _, fleet := range [][]string{{"r0"}, {"r0", "r1", "r2"}} {
		owners := 0
		for _, id := range fleet {
			s := New(DefaultConfig(), id)
			s.SetRouters(fleet)
			s.Merge(epoch, Report{Refusals: []RefusalReport{{Parts: []Part{PartOf("app", 7), PartOf("app", 8)}}}})
			sent := 0
			for at := time.Duration(0); at < time.Hour; at += time.Second {
				now := epoch.Add(at)
				for _, ids := range [][]uint64{{1, 7, 8}, {1, 7}, {1, 8}} {
					if s.Check(now, "app", "c", prefixes(ids...)).Verdict != Pass {
						continue
					}
					sent++
					server := now.String()
					r := begin(s, server, "app", prefixes(ids...))
					s.End(now, r, quarantine.Broken)
					s.Crash(now, server)
				}
				s.Tick(now)
			}
			qt.Check(t, sent <= sendsMax, qt.IsTrue, qt.Commentf("%d sends", sent))
			if sent > 0 {
				owners++
			}
		}
		qt.Check(t, owners, qt.Equals, 1)
	}
}

// An operator clears a part at one router, and that reaches the others.
func TestReleaseClearsAPartEverywhere(t *testing.T) {
	one, other := alone(), alone()
	qt.Check(t, one.Release(epoch, PartOf("app", 3)), qt.IsFalse)
	qt.Assert(t, one.Release(epoch, PartOf("app", 7)), qt.IsTrue)
	qt.Assert(t, one.Release(epoch, PartOf("app", 8)), qt.IsTrue)
	for _, report := range one.UnsentReports(epoch) {
		other.Merge(epoch, report)
	}
	qt.Check(t, one.RefusedCount(), qt.Equals, 0)
	qt.Check(t, other.RefusedCount(), qt.Equals, 0)
}

// A router that starts learns what is refused from the periodic reports of one other.
func TestAStartingRouterLearnsRefusedSets(t *testing.T) {
	started := New(DefaultConfig(), "r1")
	for _, report := range alone().PeriodicReports(epoch.Add(5 * time.Second)) {
		started.Merge(epoch.Add(5*time.Second), report)
	}
	qt.Check(t, started.Check(epoch.Add(5*time.Second), "app", "c", prefixes(7, 8)).Verdict, qt.Equals, Refuse)
}

// A connection that was cut on the way is no crash: the server answers, and its later end is not
// counted against the run.
func TestACutConnectionCountsAgainstNothing(t *testing.T) {
	s := New(DefaultConfig(), "r0")
	r := begin(s, "i-1@0", "app", prefixes(7))
	s.End(epoch, r, quarantine.Broken)
	s.Alive(epoch.Add(time.Millisecond), "i-1@0")
	s.Tick(epoch.Add(3 * time.Second))
	s.Crash(epoch.Add(4*time.Second), "i-1@0")
	qt.Check(t, s.isIdle(), qt.IsTrue)
}

func TestConfigIsValidated(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	qt.Check(t, Config{}.Validate(), qt.IsNotNil)
}

// The decision with nothing known, and with a part suspected and a set refused.
func BenchmarkCheck(b *testing.B) {
	for name, s := range map[string]*State{"off": New(DefaultConfig(), "r0"), "on": alone()} {
		b.Run(name, func(b *testing.B) {
			request := prefixes(1, 2, 3, 4)
			for b.Loop() {
				s.Check(epoch, "app", "c", request)
			}
		})
	}
}

// Guards against parts of a request that are suspected for a crash of a server that the request never
// reached, as its connection was still being opened.
func TestPartsOfARequestThatHasNotBegunAreNoSuspects(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 2 * DefaultConfig().Suspicion {
		now, server := epoch.Add(time.Duration(i)*time.Second), fmt.Sprint("i-", i)
		connecting := s.Prepare(server, "app", prefixes(1))
		begin(s, server, "app", prefixes(2))
		s.Crash(now, server)
		s.End(now, connecting, quarantine.NotRun)
	}
	s.Tick(epoch.Add(time.Minute))
	qt.Check(t, s.isSuspect(PartOf("app", 1)), qt.IsFalse)
	qt.Check(t, s.isSuspect(PartOf("app", 2)), qt.IsTrue)
}

// Guards against sound requests that are refused for crashes that a part of other prompts caused, and against a
// single request that crashes servers and goes on since its own parts were with it.
func TestASuspectPartMayExplainCrashesOfOthers(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		now, server := epoch.Add(time.Duration(i)*time.Second), fmt.Sprint("i-", i)
		begin(s, server, "app", prefixes(7))
		s.Crash(now, server)
	}
	now := epoch.Add(3 * time.Second)
	qt.Check(t, s.MayExplain(now, []string{"i-1", "i-2", "i-9"}), qt.Equals, 2)
	qt.Check(t, s.MayExplain(now, []string{"i-0", "i-1", "i-2"}), qt.Equals, 0)
	s.Merge(now, Report{Refusals: []RefusalReport{{Parts: []Part{PartOf("app", 7)}}}})
	qt.Check(t, s.MayExplain(now, []string{"i-0", "i-1", "i-2"}), qt.Equals, 3)
}
