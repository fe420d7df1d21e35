package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// bad is a request that crashes servers, good one that does not.
const (
	bad  Fingerprint = 1
	good Fingerprint = 2
)

// at returns a time of the test, given in milliseconds.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// begin sends the request to the server.
func begin(s *State, fp Fingerprint, server string) *Run {
	r := s.Prepare(fp, server)
	s.Begin(r)
	return r
}

// crashDuring simulates a crash of the server while the requests run there.
func crashDuring(s *State, now time.Time, server string, fps ...Fingerprint) {
	var runs []*Run
	for _, fp := range fps {
		runs = append(runs, begin(s, fp, server))
	}
	for _, r := range runs {
		s.End(now, r, Broken)
	}
	s.Crash(now, server)
}

func TestThreeCrashesRefuseRequest(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		qt.Check(t, s.Check(at(1000*i), bad), qt.Equals, Pass)
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad, Fingerprint(100+i))
	}
	qt.Check(t, s.Check(at(3000), bad), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(3000), 100), qt.Equals, Pass)
	reasons := s.Reasons(bad)
	qt.Assert(t, reasons, qt.HasLen, 3)
	qt.Check(t, reasons[1], qt.DeepEquals, Strike{Server: "i-1", At: at(1000), ReportedBy: []string{"a"}})
	qt.Check(t, s.RefusedCount(), qt.Equals, 1)
	qt.Check(t, s.Suspects(), qt.Equals, 0)
}

// A crash counts once, however often it is observed and whichever router reports it.
func TestCrashCountsOnce(t *testing.T) {
	a, b := New(DefaultConfig(), "a"), New(DefaultConfig(), "b")
	for i := range 5 {
		crashDuring(a, at(100*i), "i-1", bad)
		crashDuring(b, at(100*i+3), "i-1", bad)
		exchange(at(100*i+5), a, b)
	}
	qt.Check(t, a.Check(at(1000), bad), qt.Equals, Pass)
	qt.Check(t, b.Check(at(1000), bad), qt.Equals, Pass)
}

// exchange sends the reports of each router to all others once.
func exchange(now time.Time, all ...*State) {
	for _, from := range all {
		reports := append(from.UnsentReports(now), from.PeriodicReports(now)...)
		for _, to := range all {
			if to != from {
				for _, report := range reports {
					to.Merge(now, from.self, report)
				}
			}
		}
	}
}

// Each crash is observed by another router; only all reports together suffice for a refusal.
func TestRoutersCombineCrashReports(t *testing.T) {
	all := []*State{New(DefaultConfig(), "a"), New(DefaultConfig(), "b"), New(DefaultConfig(), "c")}
	for i, s := range all {
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad)
		exchange(at(1000*i+1), all...)
	}
	late := New(DefaultConfig(), "d")
	exchange(at(60_000), append(all, late)...)
	for _, s := range append(all, late) {
		qt.Check(t, s.Check(at(60_001), bad), qt.Equals, Refuse, qt.Commentf("router %s", s.self))
		qt.Check(t, s.Reasons(bad), qt.HasLen, 3)
	}
}

// A server that restarts under the same id and crashes again counts as two crashes.
func TestIncarnationsCountSeparately(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(3000*i), fmt.Sprintf("i-1@%d", i), bad)
	}
	qt.Check(t, s.Check(at(9000), bad), qt.Equals, Refuse)
}

// Requests that were merely running during a crash are retried and may run beside the crashing
// request again. A successful run clears them, and a refused request explains its crashes.
func TestHarmlessSuspectsAreCleared(t *testing.T) {
	s := New(DefaultConfig(), "a")
	crashDuring(s, at(0), "i-0", bad, good)
	crashDuring(s, at(1000), "i-1", bad, good)
	qt.Check(t, s.MayRepeat(good), qt.IsFalse)
	r := begin(s, good, "i-2")
	qt.Check(t, s.Check(at(1500), good), qt.Equals, Wait)
	s.End(at(1600), r, Complete)
	s.Tick(at(1700))
	qt.Check(t, s.MayRepeat(good), qt.IsFalse, qt.Commentf("its server may still crash"))
	s.Tick(at(3700))
	qt.Check(t, s.MayRepeat(good), qt.IsTrue)
	crashDuring(s, at(4000), "i-3", bad)
	qt.Check(t, s.Check(at(4001), bad), qt.Equals, Refuse)

	// A request that was running during two of these crashes and was not retried yet.
	s = New(DefaultConfig(), "a")
	crashDuring(s, at(0), "i-0", bad, good)
	crashDuring(s, at(1000), "i-1", bad, good)
	crashDuring(s, at(2000), "i-2", bad)
	crashDuring(s, at(3000), "i-3", good)
	qt.Check(t, s.Check(at(3001), good), qt.Equals, Pass)
	qt.Check(t, s.MayRepeat(good), qt.IsTrue, qt.Commentf("one crash counts: the others are explained"))
}

// When two requests were running at all three crashes, one more crash distinguishes them,
// even if the three were copies sent at once. The tie does not last for ever.
func TestTieIsBrokenByOneMoreCrash(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad, good)
	}
	qt.Check(t, s.Check(at(2500), bad), qt.Equals, Pass)
	qt.Check(t, s.Check(at(2500), good), qt.Equals, Pass)
	crashDuring(s, at(3000), "i-3", bad)
	qt.Check(t, s.Check(at(3001), bad), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(3001), good), qt.Equals, Pass)

	// Four copies at once, and the other request was running at each crash.
	s = New(DefaultConfig(), "a")
	for i := range 4 {
		crashDuring(s, at(10*i), fmt.Sprint("i-", i), bad, good)
	}
	qt.Check(t, s.Check(at(100), good), qt.Equals, Pass)
	crashDuring(s, at(1000), "i-9", bad)
	qt.Check(t, s.Check(at(1001), bad), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(1001), good), qt.Equals, Pass)

	// Neither is sent again for a while.
	s = New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad, good)
	}
	qt.Check(t, s.Check(at(3999), bad), qt.Equals, Pass)
	qt.Check(t, s.Check(at(4000), bad), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(4000), good), qt.Equals, Refuse)

	// The other one runs successfully.
	s = New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad, good)
	}
	s.End(at(2500), begin(s, good, "i-9"), Complete)
	s.Tick(at(4501))
	qt.Check(t, s.Check(at(4502), bad), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(4502), good), qt.Equals, Pass)
}

// A data centre with all its servers is lost: a request that ran at several of them is not
// refused, because servers crashed at which it did not run.
func TestSimultaneousServerLossRefusesNothing(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 6 {
		fps := []Fingerprint{Fingerprint(100 + i)}
		if i%2 == 0 {
			fps = append(fps, good)
		}
		crashDuring(s, at(10*i), fmt.Sprint("i-", i), fps...)
	}
	qt.Check(t, s.Check(at(100), good), qt.Equals, Pass)
	qt.Check(t, s.RefusedCount(), qt.Equals, 0)
}

// A request that crashed one server is sent as three copies at the time when a server crashes
// for another reason.
func TestCopiesBesideUnrelatedCrashAreRefused(t *testing.T) {
	s := New(DefaultConfig(), "a")
	crashDuring(s, at(0), "i-0", bad)
	crashDuring(s, at(7000), "i-9")
	crashDuring(s, at(7005), "i-9", 100)
	for i := range 3 {
		crashDuring(s, at(7120+5*i), fmt.Sprint("i-", i+1), bad)
	}
	qt.Check(t, s.Check(at(7200), bad), qt.Equals, Refuse)
}

// Three copies sent at once, before any router knew, count as three crashes.
func TestSimultaneousCopiesCountSeparately(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(10*i), fmt.Sprint("i-", i), bad, Fingerprint(100+i))
	}
	qt.Check(t, s.Check(at(100), bad), qt.Equals, Refuse)
}

// A request that many callers send is running everywhere, also at servers that crash for other
// reasons.
func TestRecentSuccessIsNotSuspect(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 4 {
		s.End(at(3000*i), begin(s, good, "i-9"), Complete)
		s.Tick(at(3000*i + 2500))
		crashDuring(s, at(3000*i+2600), fmt.Sprint("i-", i), good)
	}
	qt.Check(t, s.Check(at(12_000), good), qt.Equals, Pass)
	qt.Check(t, s.MayRepeat(good), qt.IsTrue)
}

// A server may crash after it sent the answer.
func TestCrashAfterAnswerCounts(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		server := fmt.Sprint("i-", i)
		s.End(at(3000*i), begin(s, bad, server), Complete)
		s.Tick(at(3000*i + 1000))
		s.Crash(at(3000*i+1500), server)
	}
	qt.Check(t, s.Check(at(9000), bad), qt.Equals, Refuse)
}

// An interrupted connection is not a crash; a crash that is confirmed later, by the store,
// still counts.
func TestInterruptedConnectionIsNotACrash(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 4 {
		server := fmt.Sprint("i-", i)
		s.End(at(5000*i), begin(s, good, server), Broken)
		s.Alive(at(5000*i+2), server)
		s.Tick(at(5000*i + 4000))
		s.Crash(at(5000*i+4001), server)
	}
	qt.Check(t, s.Check(at(20_000), good), qt.Equals, Pass)
	for i := range 3 {
		server := fmt.Sprint("j-", i)
		s.End(at(20_000+5000*i), begin(s, bad, server), Broken)
		s.Tick(at(20_000 + 5000*i + 4000))
		s.Crash(at(20_000+5000*i+4001), server)
	}
	qt.Check(t, s.Check(at(40_000), bad), qt.Equals, Refuse)
}

// A refused request gets few probes, from one router; each probe that crashes its server
// delays the next one further.
func TestProbesAreLimitedAndSentByOneRouter(t *testing.T) {
	cfg := DefaultConfig()
	all := []*State{New(cfg, "a"), New(cfg, "b"), New(cfg, "c")}
	for i, s := range all {
		s.SetRouters([]string{"a", "b", "c"})
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad)
		exchange(at(1000*i+1), all...)
	}
	sends := 0
	for second := 3; second < 3*3600; second += 5 {
		now := at(1000 * second)
		for _, s := range all {
			s.Tick(now)
			if s.Check(now, bad) == Pass {
				sends++
				crashDuring(s, now, fmt.Sprint("t-", sends), bad)
			}
		}
		exchange(now, all...)
	}
	qt.Check(t, sends, qt.Equals, len(cfg.ProbeAfter))
	now := at(1000 * 4 * 3600)
	qt.Check(t, all[0].Release(now, bad), qt.IsTrue)
	exchange(now.Add(time.Second), all...)
	for _, s := range all {
		qt.Check(t, s.Check(now.Add(2*time.Second), bad), qt.Equals, Pass)
		qt.Check(t, s.RefusedCount(), qt.Equals, 0)
	}
}

func TestSuccessfulProbeClearsRequest(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), good)
	}
	now := at(2000).Add(5 * time.Minute)
	qt.Assert(t, s.Check(now, good), qt.Equals, Pass)
	r := begin(s, good, "i-9")
	qt.Check(t, s.Check(now, good), qt.Equals, Refuse, qt.Commentf("one at a time"))
	s.End(now.Add(time.Second), r, Complete)
	s.Tick(now.Add(4 * time.Second))
	qt.Check(t, s.Check(now.Add(4*time.Second), good), qt.Equals, Pass)
	qt.Check(t, s.List(), qt.HasLen, 0)
}

// Reports are delayed, and each hop makes an age slightly older or younger: a clearing must
// not be forwarded again and again, each time clearing more.
func TestClearingIsNotForwarded(t *testing.T) {
	all := []*State{New(DefaultConfig(), "a"), New(DefaultConfig(), "b"), New(DefaultConfig(), "c")}
	for i := range 2 {
		crashDuring(all[0], at(100*i), fmt.Sprint("i-", i), good)
	}
	exchangeDelayed(at(200), all...)
	all[1].Release(at(300), good)
	cleared := 0
	for i := range 200 {
		exchangeDelayed(at(400+20*i), all...)
		for _, s := range all {
			for _, e := range s.Events() {
				if e.Kind == Cleared {
					cleared++
				}
			}
		}
	}
	qt.Check(t, cleared, qt.Equals, len(all))
	for i := range 3 {
		crashDuring(all[i], at(5000+500*i), fmt.Sprint("j-", i), good)
		exchangeDelayed(at(5000+500*i), all...)
	}
	for _, s := range all {
		qt.Check(t, s.Check(at(6100), good), qt.Equals, Refuse)
	}
}

// exchangeDelayed sends the reports of each router to all others, with a delay of 7 ms.
func exchangeDelayed(now time.Time, all ...*State) {
	for _, from := range all {
		for _, report := range append(from.UnsentReports(now), from.PeriodicReports(now)...) {
			for _, to := range all {
				if to != from {
					to.Merge(now.Add(7*time.Millisecond), from.self, report)
				}
			}
		}
	}
}

// A router that just started does not know that a request is harmless, and would refuse it.
// Routers that ran the request report that, and it is refused nowhere.
func TestPeersReportHarmlessRequests(t *testing.T) {
	old, fresh := New(DefaultConfig(), "old"), New(DefaultConfig(), "fresh")
	old.End(at(0), begin(old, good, "i-9"), Complete)
	old.Tick(at(2500))
	for i := range 4 {
		crashDuring(fresh, at(3000+400*i), fmt.Sprint("i-", i), good)
		if i == 3 {
			qt.Check(t, fresh.Check(at(4300), good), qt.Equals, Refuse, qt.Commentf("no report has arrived yet"))
		}
	}
	exchangeDelayed(at(4400), fresh, old)
	exchangeDelayed(at(4500), fresh, old)
	for _, s := range []*State{old, fresh} {
		qt.Check(t, s.Check(at(4600), good), qt.Equals, Pass)
		qt.Check(t, s.RefusedCount(), qt.Equals, 0)
	}
}

// One router observes all requests that ran at three servers except the one that crashed them,
// which another router sent. The other router's report arrives some milliseconds later, and
// then two requests were running at each crash.
func TestJudgementWaitsForPeerReports(t *testing.T) {
	a, b := New(DefaultConfig(), "a"), New(DefaultConfig(), "b")
	for _, s := range []*State{a, b} {
		s.SetRouters([]string{"a", "b"})
	}
	for i := range 3 {
		now, server := at(400*i), fmt.Sprint("i-", i)
		crashDuring(a, now, server, good)
		crashDuring(b, now.Add(2*time.Millisecond), server, bad)
		qt.Check(t, a.Check(now.Add(time.Millisecond), good), qt.Equals, Pass)
		exchangeDelayed(now.Add(3*time.Millisecond), a, b)
		a.Tick(now.Add(60 * time.Millisecond))
		b.Tick(now.Add(60 * time.Millisecond))
	}
	qt.Check(t, a.Check(at(1000), good), qt.Equals, Pass)
	crashDuring(b, at(1200), "i-3", bad)
	exchangeDelayed(at(1203), a, b)
	for _, s := range []*State{a, b} {
		qt.Check(t, s.Check(at(1300), bad), qt.Equals, Refuse)
		qt.Check(t, s.Check(at(1300), good), qt.Equals, Pass)
	}
}

// A server that answers other requests for a while after a run has survived that run, although
// it crashes before Settle is over.
func TestLaterAnswerShowsServerSurvivedRun(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 4 {
		server := fmt.Sprint("i-", i)
		s.End(at(800*i), begin(s, good, server), Complete)
		s.End(at(800*i+400), begin(s, Fingerprint(100+i), server), Complete)
		s.Crash(at(800*i+500), server)
	}
	qt.Check(t, s.Check(at(4000), good), qt.Equals, Pass)
	qt.Check(t, s.MayRepeat(good), qt.IsTrue)
}

// A router that misses the reports of another one refuses a request that merely ran during the
// first crashes. Once the crashing request is known, each of these crashes has another
// explanation: the refused one gets a probe at once instead of after minutes, and is cleared
// if the probe succeeds. The next test shows why it is not cleared without a probe.
func TestExplainedRequestIsProbedEarly(t *testing.T) {
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(10*i), fmt.Sprint("i-", i), good)
	}
	qt.Check(t, s.Check(at(100), good), qt.Equals, Refuse)
	for i := range 3 {
		s.Merge(at(300), "b", Report{Crashes: []CrashReport{{Server: fmt.Sprint("i-", i), Age: time.Duration(300-10*i) * time.Millisecond, Suspects: []Fingerprint{bad}}}})
	}
	qt.Check(t, s.Check(at(301), good), qt.Equals, Refuse)
	for i := range 3 {
		crashDuring(s, at(500+200*i), fmt.Sprint("j-", i), bad)
	}
	qt.Check(t, s.Check(at(1000), bad), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(1900), bad), qt.Equals, Refuse)
	qt.Assert(t, s.Check(at(1000), good), qt.Equals, Pass)
	r := begin(s, good, "k-1")
	qt.Check(t, s.Check(at(1001), good), qt.Equals, Refuse, qt.Commentf("one at a time"))
	s.End(at(1100), r, Complete)
	s.Tick(at(3101))
	qt.Check(t, s.Check(at(3102), good), qt.Equals, Pass)
	qt.Check(t, s.List(), qt.HasLen, 1)
}

// Two requests that crash servers run together at three servers; one of them is reported later
// and crashes three more on its own. The first is not cleared for that: it gets one early
// probe, and after that waits as long as any other.
func TestTwoCrashingRequestsAreBothRefused(t *testing.T) {
	const second Fingerprint = 7
	s := New(DefaultConfig(), "a")
	for i := range 3 {
		crashDuring(s, at(300*i), fmt.Sprint("i-", i), bad)
	}
	qt.Check(t, s.Check(at(700), bad), qt.Equals, Refuse)
	for i := range 3 {
		s.Merge(at(701), "b", Report{Crashes: []CrashReport{{Server: fmt.Sprint("i-", i), Age: time.Duration(701-300*i) * time.Millisecond, Suspects: []Fingerprint{second}}}})
	}
	for i := range 3 {
		crashDuring(s, at(900+200*i), fmt.Sprint("j-", i), second)
	}
	qt.Check(t, s.Check(at(1500), second), qt.Equals, Refuse)
	sends := 0
	for now := 1500; now < 60_000; now += 100 {
		s.Tick(at(now))
		if s.Check(at(now), bad) == Pass {
			sends++
			crashDuring(s, at(now), fmt.Sprint("k-", sends), bad)
		}
	}
	qt.Check(t, sends, qt.Equals, 1)
	qt.Check(t, s.List(), qt.HasLen, 2)
}

// One router writes a refusal to the store and removes it when the request is cleared. Routers
// that start later read it there, even if all others were lost.
func TestRefusalsSurviveInStore(t *testing.T) {
	const ttl = 10 * time.Minute
	all := []*State{New(DefaultConfig(), "a"), New(DefaultConfig(), "b"), New(DefaultConfig(), "c")}
	for i, s := range all {
		s.SetRouters([]string{"a", "b", "c"})
		crashDuring(s, at(1000*i), fmt.Sprint("i-", i), bad)
		exchangeDelayed(at(1000*i+1), all...)
	}
	for _, s := range all {
		s.Tick(at(2100))
	}
	var entries []Entry
	for _, s := range all {
		for _, entry := range s.ToKeep(at(2200), ttl) {
			entries = append(entries, entry)
			s.Kept(at(2200), entry)
		}
		qt.Check(t, s.ToKeep(at(2300), ttl), qt.HasLen, 0)
	}
	qt.Assert(t, entries, qt.HasLen, 1)
	started := New(DefaultConfig(), "d")
	started.Stored(at(60_000), entries, false)
	qt.Check(t, started.Check(at(60_001), bad), qt.Equals, Refuse)
	qt.Check(t, started.Reasons(bad), qt.HasLen, 3)

	writers := 0
	for _, s := range all {
		s.Release(at(70_000), bad)
		for _, fp := range s.ToDrop() {
			writers++
			s.Dropped(fp)
		}
		qt.Check(t, s.ToDrop(), qt.HasLen, 0)
		// Entries that the store had before change nothing.
		s.Stored(at(70_100), entries, false)
		qt.Check(t, s.Check(at(70_101), bad), qt.Equals, Pass)
	}
	qt.Check(t, writers, qt.Equals, 1)
}

// More requests are refused than fit one periodic report: a router that starts later receives
// all within a few of them. Knowing a request to be harmless is reported once.
func TestAllRefusalsAreReported(t *testing.T) {
	old, fresh := New(DefaultConfig(), "old"), New(DefaultConfig(), "fresh")
	for i := range 200 {
		for j := range 3 {
			crashDuring(old, at(1000*(3*i+j)), fmt.Sprintf("i-%d-%d", i, j), Fingerprint(5000+i))
		}
	}
	qt.Assert(t, old.RefusedCount(), qt.Equals, 200)
	for i := range 4 {
		for _, report := range old.PeriodicReports(at(601_000 + 250*i)) {
			fresh.Merge(at(601_010+250*i), "old", report)
		}
	}
	qt.Check(t, fresh.RefusedCount(), qt.Equals, 200)

	fresh = New(DefaultConfig(), "fresh")
	fresh.End(at(0), begin(fresh, good, "i-9"), Complete)
	fresh.Tick(at(2500))
	reported := 0
	for i := range 10 {
		fresh.Merge(at(3000+250*i), "old", Report{Crashes: []CrashReport{{Server: "i-0", Age: time.Duration(250*i) * time.Millisecond, Suspects: []Fingerprint{good}}}})
		reported += len(fresh.UnsentReports(at(3000 + 250*i)))
	}
	qt.Check(t, reported, qt.Equals, 1)
}

// Stored data stays bounded, whatever crashes.
func TestStoredDataIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxCrashes, cfg.MaxSuspects, cfg.MaxRefused, cfg.MaxSuccesses = 8, 4, 3, 5
	s := New(cfg, "a")
	for i := range 400 {
		fps := make([]Fingerprint, 10)
		for j := range fps {
			fps[j] = Fingerprint(i/4*100 + j)
		}
		crashDuring(s, at(500*i), fmt.Sprint("i-", i), fps...)
		s.End(at(500*i), begin(s, Fingerprint(1_000_000+i), "sound"), Complete)
		s.Tick(at(500 * i))
	}
	qt.Check(t, len(s.crashes) <= cfg.MaxCrashes, qt.IsTrue)
	qt.Check(t, len(s.records) <= cfg.MaxCrashes*cfg.MaxSuspects+cfg.MaxRefused, qt.IsTrue, qt.Commentf("%d", len(s.records)))
	qt.Check(t, s.RefusedCount() <= cfg.MaxRefused, qt.IsTrue)
	qt.Check(t, len(s.successes.at) <= cfg.MaxSuccesses, qt.IsTrue)
	for _, report := range append(s.UnsentReports(at(0)), s.PeriodicReports(at(200_000))...) {
		qt.Check(t, len(report.Crashes)*crashBytes <= maxReportBytes, qt.IsTrue)
	}
	s.Tick(at(200_000).Add(cfg.CrashTTL + time.Second))
	qt.Check(t, s.crashes, qt.HasLen, 0)
	qt.Check(t, len(s.records), qt.Equals, s.RefusedCount())
}

func TestDefaultConfigIsValid(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	qt.Check(t, Config{}.Validate(), qt.ErrorMatches, "(?s).*Crashes must be above 1.*")
}

// Whatever the order and loss of reports, all routers reach the same verdict on a request once
// all reports were exchanged.
func TestReportOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []*State{New(DefaultConfig(), "a"), New(DefaultConfig(), "b"), New(DefaultConfig(), "c")}
		now := epoch
		for i := range rapid.IntRange(1, 12).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "gap")) * time.Millisecond)
			from := all[rapid.IntRange(0, 2).Draw(t, "router")]
			values := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 4, rapid.ID).Draw(t, "contents")
			var fps []Fingerprint
			for _, c := range values {
				fps = append(fps, Fingerprint(c))
			}
			crashDuring(from, now, fmt.Sprint("i-", i), fps...)
			if rapid.Bool().Draw(t, "told") {
				to := all[rapid.IntRange(0, 2).Draw(t, "to")]
				if to != from {
					for _, report := range from.UnsentReports(now) {
						to.Merge(now, from.self, report)
					}
				}
			}
		}
		for range 4 {
			exchange(now, all...)
		}
		for fp := Fingerprint(1); fp <= 6; fp++ {
			want := verdict(all[0], now, fp)
			for _, s := range all[1:] {
				if got := verdict(s, now, fp); got != want {
					t.Fatalf("request %v: %v at %s, %v at a", fp, got, s.self, want)
				}
			}
		}
	})
}

// verdict is the router's decision on the request; a refused request counts as refused even if
// this router may send the probe.
func verdict(s *State, now time.Time, fp Fingerprint) Verdict {
	got := s.Check(now, fp)
	if slices.ContainsFunc(s.List(), func(e Entry) bool { return e.Content == fp }) {
		return Refuse
	}
	return got
}
