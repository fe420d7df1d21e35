package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// engineMemory is that of the engines in these tests: 39 runs of fullPrompt tokens fill it, at 64 slots.
const (
	engineMemory = 475_145
	fullPrompt   = 12_000
	fullAt       = 39
)

// memoryEngines returns a state with n engines of that memory.
func memoryEngines(n int) *State {
	s := engines(n)
	s.SetService("llm", Traits{Engine: true, Memory: engineMemory})
	return s
}

// fill places long prompts that begin at once until one is refused, at most the given number.
func (s *State) fill(now time.Time, most int) (runs []*Run, refused Decision) {
	for len(runs) < most {
		d := s.Place(now, prompt(fullPrompt))
		if d.Verdict != Send {
			return runs, d
		}
		s.FirstByte(now, d.Run)
		runs = append(runs, d.Run)
	}
	return runs, Decision{}
}

// Guards against long prompts that fill an engine's memory before its slots: it would put its newest runs back
// in the middle of their streams. Such requests go to engines with room; where none has any, they are
// refused with a time, while short ones are served, and go on once a run ends.
func TestLongPromptsThatFillEnginesMemoryAreRefused(t *testing.T) {
	const servers = 2
	s := memoryEngines(servers)
	runs, refused := s.fill(epoch, 1000)
	qt.Assert(t, len(runs), qt.Equals, servers*fullAt)
	qt.Check(t, refused.Verdict, qt.Equals, Refuse)
	qt.Check(t, refused.Reason, qt.Equals, ReasonMemory)
	qt.Check(t, refused.RetryAfter >= s.cfg.RetryAfterMin && refused.RetryAfter <= s.cfg.RetryAfterMax, qt.IsTrue)
	for _, srv := range s.servers {
		qt.Check(t, srv.memory.Use().End <= engineMemory, qt.IsTrue)
	}
	qt.Check(t, s.Place(epoch, prompt(600)).Verdict, qt.Equals, Send)
	s.Ended(epoch, runs[0], health.Success)
	d := s.Place(epoch, prompt(fullPrompt))
	qt.Assert(t, d.Verdict, qt.Equals, Send)
	qt.Check(t, d.Server, qt.Equals, runs[0].Server())
}

// An engine that keeps a request's shared prefix, and would get it otherwise, does not if it is full.
func TestAFullEngineIsNoCandidate(t *testing.T) {
	s := memoryEngines(5)
	shared := Prefix{ID: 7, Tokens: 100}
	first := s.Place(epoch, prompt(600, shared))
	qt.Assert(t, first.Verdict, qt.Equals, Send)
	s.FirstByte(epoch, first.Run)
	for i := range fullAt {
		s.servers[first.Server].memory.Add(s.needOf(prompt(fullPrompt)))
		d := s.Place(epoch, prompt(fullPrompt, shared))
		qt.Assert(t, d.Verdict, qt.Equals, Send)
		qt.Check(t, d.Server == first.Server, qt.Equals, i < fullAt-1, qt.Commentf("run %d", i))
		s.Ended(epoch, d.Run, health.Success)
	}
}

// The runs of other routers count, at a discount, while their digests are fresh. Once those are silent the
// bound gives way at once, and nothing of them is left after three seconds.
func TestRunsOfOtherRoutersCountWhileTheirDigestsAreFresh(t *testing.T) {
	s := memoryEngines(1)
	s.SetRouters(2)
	digest := func(now time.Time, runs int) {
		s.ReceiveDigest(now, "other", Digest{All: true, Servers: map[ServerID]InFlight{NumberOf("i-0", 0): {Runs: runs}}})
	}
	digest(epoch, 20)
	before, refused := s.fill(epoch, 1000)
	qt.Check(t, refused.Reason, qt.Equals, ReasonMemory)
	// 20 of the other router's runs count as 16.
	qt.Check(t, len(before), qt.Equals, fullAt-16)
	digest(epoch, 10)
	more, refused := s.fill(epoch, 1000)
	qt.Check(t, refused.Reason, qt.Equals, ReasonMemory)
	qt.Check(t, len(before)+len(more), qt.Equals, fullAt-8)
	// Silent for longer than such counts are good for.
	stale, refused := s.fill(epoch.Add(freshRuns+time.Millisecond), 1000)
	qt.Check(t, refused.Reason, qt.Equals, ReasonMemory)
	qt.Check(t, len(before)+len(more)+len(stale), qt.Equals, fullAt)
	s.Tick(epoch.Add(3 * time.Second))
	qt.Check(t, s.servers["i-0"].peerRuns, qt.Equals, 0)
}

// A router that has started few runs does not know how large those of the others are.
func TestRunsOfUnknownSizeDoNotCount(t *testing.T) {
	s := memoryEngines(1)
	s.ReceiveDigest(epoch, "other", Digest{All: true, Servers: map[ServerID]InFlight{NumberOf("i-0", 0): {Runs: 30}}})
	runs, _ := s.fill(epoch, s.cfg.Memory.LeastRuns)
	qt.Check(t, len(runs), qt.Equals, s.cfg.Memory.LeastRuns)
	qt.Check(t, s.Place(epoch, prompt(fullPrompt)).Reason, qt.Equals, ReasonMemory)
}

// A server that is lost takes its memory with it. Its runs end later; a new process under its id is empty.
func TestAServerThatIsLostTakesItsMemoryWithIt(t *testing.T) {
	s := memoryEngines(2)
	runs, _ := s.fill(epoch, 1000)
	s.Remove("i-0")
	qt.Check(t, s.Place(epoch, prompt(fullPrompt)).Reason, qt.Equals, ReasonMemory)
	s.Add("i-0", 1, "llm", "", 64)
	for _, run := range runs {
		if run.Server() == "i-0" {
			s.Ended(epoch, run, health.Failure)
		}
	}
	qt.Check(t, s.servers["i-0"].memory.Use().End, qt.Equals, 0)
	more, refused := s.fill(epoch, 1000)
	qt.Check(t, len(more), qt.Equals, fullAt)
	qt.Check(t, refused.Reason, qt.Equals, ReasonMemory)
}

// A request that fits into no engine is refused at once and for good; the largest that fits is served.
func TestARequestLargerThanAnEngineIsRefused(t *testing.T) {
	s := memoryEngines(3)
	d := s.Place(epoch, prompt(engineMemory))
	qt.Check(t, d.Verdict, qt.Equals, Refuse)
	qt.Check(t, d.Reason, qt.Equals, ReasonTooLarge)
	qt.Check(t, d.RetryAfter, qt.Equals, tooLargeRetryAfter)
	begun := prompt(engineMemory)
	begun.MayHaveRun = true
	qt.Check(t, s.Place(epoch, begun).Reason, qt.Not(qt.Equals), ReasonTooLarge)
	qt.Check(t, memoryEngines(1).Place(epoch, prompt(engineMemory-100)).Verdict, qt.Equals, Send)
	qt.Check(t, engines(1).Place(epoch, prompt(engineMemory)).Verdict, qt.Equals, Send)
}

// The bound gives way to a request that may have run, and to a stream that is taken up.
func TestABegunRequestIsNotRefusedForMemory(t *testing.T) {
	s := memoryEngines(1)
	s.fill(epoch, 1000)
	begun := prompt(fullPrompt)
	begun.MayHaveRun = true
	qt.Check(t, s.Place(epoch, begun).Verdict, qt.Equals, Send)
	resumed := prompt(fullPrompt)
	resumed.Bound = &Bound{Resumes: true, Trusts: func(string) bool { return true }}
	qt.Check(t, s.Place(epoch, resumed).Verdict, qt.Equals, Send)
}

// Without a declared memory nothing is counted or refused.
func TestWithoutDeclaredMemoryNothingCounts(t *testing.T) {
	s := engines(1)
	runs, _ := s.fill(epoch, 60)
	qt.Check(t, len(runs), qt.Equals, 60)
	qt.Check(t, s.servers["i-0"].memory.Use().End, qt.Equals, 0)
}

// BenchmarkPlaceWithMemory measures a decision with the bound and without it, in fleets of both sizes. All
// servers have runs of this router and of others.
func BenchmarkPlaceWithMemory(b *testing.B) {
	for _, servers := range []int{50, 2200} {
		for _, memory := range []int{0, engineMemory} {
			b.Run(fmt.Sprintf("servers=%d/memory=%d", servers, memory), func(b *testing.B) {
				s := engines(servers)
				s.SetService("llm", Traits{Engine: true, Memory: memory})
				others := Digest{All: true, Servers: map[ServerID]InFlight{}}
				for i := range servers {
					others.Servers[NumberOf(fmt.Sprint("i-", i), 0)] = InFlight{Runs: 10}
				}
				s.ReceiveDigest(epoch, "other", others)
				shared := []Prefix{{ID: 1, Tokens: 198}, {ID: 2, Tokens: 400}}
				for range 100 {
					s.FirstByte(epoch, s.Place(epoch, prompt(826, shared...)).Run)
				}
				for b.Loop() {
					if d := s.Place(epoch, prompt(826, shared...)); d.Run != nil {
						s.FirstByte(epoch, d.Run)
						s.Ended(epoch, d.Run, health.Success)
					}
				}
			})
		}
	}
}
