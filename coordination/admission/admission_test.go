package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/health"
)

var epoch = time.Unix(1000, 0)

// engines returns a state with n engines of one service.
func engines(n int) *State {
	s := New(DefaultConfig())
	s.SetService("llm", Traits{Engine: true})
	for i := range n {
		s.Add(fmt.Sprint("i-", i), 0, "llm", "", 64)
	}
	return s
}

func prompt(tokens int, shared ...Prefix) Request {
	return Request{Service: "llm", Class: "c", Prompt: tokens, Output: 100, SharedPrefixes: shared}
}

func TestConfigErrorNamesField(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	bad := DefaultConfig()
	bad.PrefillRate, bad.OwnPrefillShare = 0, 1
	qt.Check(t, bad.Validate(), qt.ErrorMatches, "(?s).*PrefillRate.*")
}

// Guards against admitting requests behind a long prompt: an engine prefills 66
// tokens per millisecond in order of arrival, so a prompt of 12,000 tokens delays
// all requests behind it by 180 ms. A request that would start too late is refused
// at once, with the time at which it would be admitted.
func TestLongPromptAheadRefusesWithRetryTime(t *testing.T) {
	s := engines(1)
	d := s.Place(epoch, prompt(30000))
	qt.Assert(t, d.Verdict, qt.Equals, Send)
	refused := s.Place(epoch, prompt(600))
	qt.Assert(t, refused.Verdict, qt.Equals, Refuse)
	qt.Check(t, refused.Wait > 450*time.Millisecond, qt.IsTrue)
	qt.Check(t, refused.RetryAfter, qt.Equals, refused.Wait-refused.Limit)
	// The first token shows that the engine has finished the prefill.
	s.FirstByte(epoch, d.Run)
	qt.Check(t, s.Place(epoch, prompt(600)).Verdict, qt.Equals, Send)
}

// Guards against long prompts that leave no room for short ones. In experiments,
// subtracting a quarter of a request's own prefill time from its wait limit served
// most requests; more starved the largest tenth.
func TestLongPromptsLeaveRoomForShortOnes(t *testing.T) {
	s := engines(1)
	s.Place(epoch, prompt(14000))
	qt.Check(t, s.Place(epoch, prompt(20000)).Verdict, qt.Equals, Refuse)
	qt.Check(t, s.Place(epoch, prompt(600)).Verdict, qt.Equals, Send)
	// The largest prompts keep a part of the wait limit.
	s = engines(1)
	s.Place(epoch, prompt(5000))
	qt.Check(t, s.Place(epoch, prompt(54000)).Verdict, qt.Equals, Send)
}

// Guards against repeated prefills of documents that many requests share, here 176
// documents of 5,000 tokens whose prefill takes 75 ms each. All routers choose the
// same server for a prefix, and when a server is removed only its own prefixes move.
func TestSamePrefixGoesToSameServer(t *testing.T) {
	a, b := engines(12), engines(12)
	moved := 0
	b.Remove("i-3")
	for prefix := range uint64(200) {
		req := prompt(6000, Prefix{ID: prefix * 7919, Tokens: 5000})
		first, again := a.Place(epoch, req), a.Place(epoch, req)
		qt.Assert(t, first.Server, qt.Equals, again.Server)
		a.Ended(epoch, first.Run, health.Success)
		a.Ended(epoch, again.Run, health.Success)
		other := b.Place(epoch, req)
		b.Ended(epoch, other.Run, health.Success)
		if other.Server != first.Server {
			qt.Check(t, first.Server, qt.Equals, "i-3")
			moved++
		}
	}
	qt.Check(t, moved > 5 && moved < 35, qt.IsTrue, qt.Commentf("%d moved", moved))
}

// Guards against overloading one server when a single document gets much of the
// traffic: requests go to the next server by rank once waiting costs more than a
// repeated prefill.
func TestHotPrefixSpillsToNextServer(t *testing.T) {
	s := engines(12)
	used := map[string]int{}
	for range 40 {
		d := s.Place(epoch, prompt(1000, Prefix{ID: 5, Tokens: 200}))
		if d.Verdict == Send {
			used[d.Server]++
		}
	}
	qt.Check(t, len(used), qt.Equals, s.cfg.Candidates, qt.Commentf("%v", used))
}

// Guards against a small team being refused because another team demands many times
// its share: only the excess of the latter is refused.
func TestFloodIsRefusedBeforeSmallTeams(t *testing.T) {
	s := engines(2)
	s.SetCapacity(50000)
	now := epoch
	sent, asked := map[string]int{}, map[string]int{}
	var running []*Run
	for i := range 400 {
		team := "flood"
		if i%20 == 0 {
			team = "small"
		}
		req := prompt(4000)
		req.Team = team
		asked[team]++
		if d := s.Place(now, req); d.Verdict == Send {
			sent[team]++
			running = append(running, d.Run)
		}
		now = now.Add(10 * time.Millisecond)
		if len(running) > 3 {
			s.Ended(now, running[0], health.Success)
			running = running[1:]
		}
	}
	qt.Check(t, sent["small"], qt.Equals, asked["small"])
	qt.Check(t, sent["flood"] < asked["flood"]*7/10, qt.IsTrue, qt.Commentf("%d of %d", sent["flood"], asked["flood"]))
}

// Of two teams beyond their shares, the one that received less has the larger wait
// limit.
func TestTeamThatReceivedLessHasLargerFactor(t *testing.T) {
	s := engines(1)
	qt.Check(t, s.standingFactor(standing{share: 1.5}) > s.standingFactor(standing{share: 3}), qt.IsTrue)
	qt.Check(t, s.standingFactor(standing{}), qt.Equals, s.cfg.UnderShareFactor)
	for _, pair := range [][2]float64{{0.2, 0.9}, {0.9, 1.1}, {1.1, 1.3}, {1.3, 2}} {
		qt.Check(t, s.standingFactor(standing{share: pair[0]}) > s.standingFactor(standing{share: pair[1]}), qt.IsTrue, qt.Commentf("%v", pair))
	}
}

// A refused caller that comes back has a larger wait limit than a new one: it has
// waited already, and a second refusal is final.
func TestReturningCallerIsAdmittedBeforeNewOne(t *testing.T) {
	s := engines(1)
	s.Place(epoch, prompt(19000))
	first, returning := prompt(1000), prompt(1000)
	returning.Elapsed = 200 * time.Millisecond
	qt.Check(t, s.Place(epoch, first).Verdict, qt.Equals, Refuse)
	qt.Check(t, s.Place(epoch, returning).Verdict, qt.Equals, Send)
}

// The work that other routers report counts. Routers without a report are assumed to
// have as much in flight as the others on average, and reports expire.
func TestWorkOfOtherRoutersCounts(t *testing.T) {
	a, b := engines(1), engines(1)
	a.SetRouters(2)
	b.SetRouters(2)
	a.Place(epoch, prompt(30000))
	b.ReceiveDigest(epoch, "a", a.Digest(epoch, true, true))
	qt.Check(t, b.Place(epoch, prompt(1000)).Verdict, qt.Equals, Refuse)
	qt.Check(t, b.PeerStaleness(epoch.Add(40*time.Millisecond)), qt.Equals, 40*time.Millisecond)
	b.Tick(epoch.Add(peerTTL + time.Millisecond))
	qt.Check(t, b.PeerStaleness(epoch.Add(2*peerTTL)), qt.Equals, time.Duration(0))
	qt.Check(t, b.Place(epoch, prompt(1000)).Verdict, qt.Equals, Send)

	alone := engines(1)
	alone.SetRouters(4)
	alone.Place(epoch, prompt(8000))
	srv := alone.servers["i-0"]
	queue, _ := alone.queueWait(srv, alone.queueAt(srv), alone.cfg.PrefillRate)
	qt.Check(t, queue > 4*alone.prefillTime(8000), qt.IsTrue)
}

// A lost digest of changes is corrected by the next full one.
func TestFullDigestCorrectsLostOne(t *testing.T) {
	a, b := engines(2), engines(2)
	run := a.Place(epoch, prompt(5000)).Run
	b.ReceiveDigest(epoch, "a", a.Digest(epoch, false, false))
	qt.Check(t, b.peersInFlight, qt.HasLen, 1)
	a.Ended(epoch, run, health.Success)
	a.Digest(epoch, false, false) // lost
	qt.Check(t, a.Digest(epoch, false, false).Servers, qt.HasLen, 0)
	qt.Check(t, b.peersInFlight, qt.HasLen, 1)
	b.ReceiveDigest(epoch, "a", a.Digest(epoch, true, false))
	qt.Check(t, b.peersInFlight, qt.HasLen, 0)
}

// A run for which an engine has no free slot waits until one of the running
// generations ends.
func TestWaitIncludesFullSlots(t *testing.T) {
	s := New(DefaultConfig())
	s.SetService("llm", Traits{Engine: true})
	s.Add("i-0", 0, "llm", "", 32)
	for range 32 {
		s.FirstByte(epoch, s.startRun(epoch, s.servers["i-0"], 0, nil))
	}
	runCost := 32 * s.cfg.RunCost
	srv := s.servers["i-0"]
	queue, slot := s.queueWait(srv, s.queueAt(srv), s.cfg.PrefillRate)
	qt.Check(t, queue+slot, qt.Equals, runCost+initialRunTime/32)
}

// Guards against sending all work to a crashed server, which refuses connections at
// once and therefore has the least load. One refused connection ejects it, but never
// more than half of a service's servers are ejected.
func TestCrashedServerIsEjected(t *testing.T) {
	s := engines(4)
	for range 10 {
		d := s.Place(epoch, prompt(500))
		s.Ended(epoch, d.Run, health.Unreachable)
	}
	qt.Check(t, s.Ejected(), qt.HasLen, 2)
	// After a pause one request probes it.
	later := epoch.Add(2 * time.Second)
	probes := 0
	for range 20 {
		d := s.Place(later, prompt(500))
		if d.Run.healthProbe {
			probes++
		}
	}
	qt.Check(t, probes <= 2, qt.IsTrue)
}

func TestOutputLengthIsLearnt(t *testing.T) {
	o := make(outputShares)
	qt.Check(t, o.expectedTokens("c", 300), qt.Equals, initialOutputShare*300)
	for range 200 {
		o.observe("c", 300, 30)
	}
	got := o.expectedTokens("c", 300)
	qt.Check(t, got > 29 && got < 33, qt.IsTrue, qt.Commentf("%v", got))
}

// The counts of a server are the sums over the runs that have not ended, for any
// order of sends, first events, ends and changes of servers.
func TestServerCountsAreSumsOfRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := engines(3), epoch
		var runs []*Run
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if d := s.Place(now, prompt(rapid.IntRange(1, 20000).Draw(t, "tokens"))); d.Verdict == Send {
					runs = append(runs, d.Run)
				}
			case 2:
				if len(runs) > 0 {
					s.FirstByte(now, runs[rapid.IntRange(0, len(runs)-1).Draw(t, "which")])
				}
			case 3:
				if len(runs) > 0 {
					i := rapid.IntRange(0, len(runs)-1).Draw(t, "which")
					s.Ended(now, runs[i], health.Result(rapid.IntRange(0, 3).Draw(t, "result")))
					runs = append(runs[:i], runs[i+1:]...)
				}
			}
		}
		var pendingTokens float64
		inFlight := 0
		for _, srv := range s.servers {
			pendingTokens += srv.pendingTokens
			inFlight += srv.running + srv.awaiting
		}
		if inFlight != len(runs) {
			t.Fatalf("%d runs counted, %d in flight", inFlight, len(runs))
		}
		for _, r := range runs {
			if !r.started {
				pendingTokens -= r.prefillTokens
			}
		}
		if pendingTokens > 1e-6 || pendingTokens < -1e-6 {
			t.Fatalf("%v pending tokens belong to no run", pendingTokens)
		}
	})
}

// Digests carry the usage of teams, so that shares apply to the whole fleet.
func TestSharesApplyToWholeFleet(t *testing.T) {
	a, b := engines(1), engines(1)
	a.SetCapacity(10000)
	b.SetCapacity(10000)
	team := fairshare.IDOf("flood")
	for range 20 {
		a.teams.Ask(epoch, team, 10000)
		a.teams.RecordStart(epoch, team, 10000)
	}
	b.ReceiveDigest(epoch, "a", a.Digest(epoch, true, true))
	b.teams.Ask(epoch, fairshare.IDOf("small"), 100)
	qt.Check(t, b.teams.Standing(epoch, team, b.capacity) > 1, qt.IsTrue)
}
