package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against sound requests that are refused since they ran at servers that requests with a part of
// their prompts crashed, of which no two are alike.
func TestCrashesUnderAPartDoNotCountAgainstRequests(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 2 {
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad)
	}
	s.Explain([]string{"i-0", "i-1", "never-seen"})
	crashDuring(s, at(2000), "i-2", bad)
	s.Tick(at(9000))
	qt.Check(t, s.Check(at(9000), bad), qt.Equals, Pass)
}

// Guards against the same where the part is found after the request was refused: it gets its probe
// early, and is free once that survived.
func TestARequestThatWasRefusedForAPartIsProbedSoon(t *testing.T) {
	s := refusing("a")[0]
	refused := at(2100)
	qt.Assert(t, s.Check(refused, bad), qt.Equals, Refuse)
	soon := refused.Add(DefaultConfig().ExplainedProbeAfter)
	qt.Assert(t, s.Check(soon, bad), qt.Equals, Refuse)
	s.Explain([]string{"i-0", "i-1", "i-2"})
	qt.Assert(t, s.Check(soon, bad), qt.Equals, Pass)
	run := begin(s, bad, "i-9")
	s.End(soon.Add(time.Second), run, Complete)
	later := soon.Add(10 * time.Second)
	s.Alive(later, "i-9")
	s.Tick(later)
	qt.Check(t, s.Check(later, bad), qt.Equals, Pass)
	qt.Check(t, s.RefusedCount(), qt.Equals, 0)
}

// Guards against a request that is refused for crashes of servers that it never reached, as its
// connections were still being opened.
func TestARequestThatHasNotBegunIsNoSuspect(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 2 * DefaultConfig().Crashes {
		now, server := at(1000*i), fmt.Sprint("i-", i)
		connecting := s.Prepare(good, server)
		begin(s, bad, server)
		s.Crash(now, server)
		s.End(now, connecting, NotRun)
	}
	s.Tick(at(20_000))
	qt.Check(t, s.Check(at(20_000), good), qt.Equals, Pass)
	qt.Check(t, s.Suspects(), qt.Equals, 0)
	qt.Check(t, s.Check(at(20_000), bad), qt.Equals, Refuse)
}

// Guards against sound requests that three crashes refuse, though a part of other prompts was at one of
// them and is found by its fifth: the judgement waits as it does for another request.
func TestAPartAtACrashPutsTheJudgementOff(t *testing.T) {
	s := New(DefaultConfig(), "a")
	s.SetOtherCause(func(time.Time, []string) int { return 1 })
	for i := range 3 {
		crashDuring(s, at(500*i), fmt.Sprint("i-", i), good)
	}
	qt.Check(t, s.Check(at(1500), good), qt.Equals, Pass)
	decided := at(1000).Add(DefaultConfig().TieBreak)
	s.Tick(decided)
	qt.Check(t, s.Check(decided, good), qt.Equals, Refuse)
}

// Guards against the same where the part is found meanwhile, and against a wait where three crashes remain.
func TestAPartThatIsFoundMeanwhileExplainsTheCrashes(t *testing.T) {
	crashed := func(n int) *State {
		s := New(DefaultConfig(), "a")
		s.SetOtherCause(func(time.Time, []string) int { return 1 })
		for i := range n {
			crashDuring(s, at(500*i), fmt.Sprint("i-", i), good)
		}
		return s
	}
	s := crashed(3)
	s.Explain([]string{"i-1"})
	s.Tick(at(9000))
	qt.Check(t, s.Check(at(9000), good), qt.Equals, Pass)
	qt.Check(t, crashed(4).Check(at(1500), good), qt.Equals, Refuse)
}
