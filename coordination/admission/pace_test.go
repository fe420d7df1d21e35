package admission

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/pace"
	"goldcrestport/coordination/promptmix"
	"goldcrestport/coordination/warmup"
)

// pacedEngines returns a state of which the pace of servers is used.
func pacedEngines(n int) *State {
	s := engines(n)
	s.SetPaceMode(pace.On)
	return s
}

// serveAlone lets the server prefill prompts at its rate in tokens per millisecond, one each second, and
// returns the time after it.
func serveAlone(s *State, now time.Time, id string, prompts int, rate float64, load Load) time.Time {
	const tokens = 10_000
	for range prompts {
		now = now.Add(time.Second)
		var avoid []string
		for other := range s.servers {
			if other != id {
				avoid = append(avoid, other)
			}
		}
		req := prompt(tokens)
		req.Avoid = avoid
		d := s.Place(now, req)
		first := now.Add(30*time.Millisecond + prefillTime(tokens, rate))
		s.Reported(first, d.Run, load)
		s.FirstByte(first, d.Run)
		s.Ended(first, d.Run, health.Success)
	}
	return now.Add(time.Second)
}

// With and without the pace of servers, estimates begin at the same rate.
func TestPaceBeginsAtTheConfiguredRate(t *testing.T) {
	qt.Check(t, DefaultConfig().Pace.Rate, qt.Equals, DefaultConfig().PrefillRate)
	qt.Check(t, DefaultConfig().Pace.Overhead, qt.Equals, firstTokenBase)
}

// Guards against one server's pace in the estimates of all: the largest prompts go to the fast server although it
// has work, and their estimated prefill is that of the server.
func TestLargestPromptsGoToFastServers(t *testing.T) {
	s := pacedEngines(2)
	now := serveAlone(s, epoch, "i-0", 30, 50, Load{})
	now = serveAlone(s, now, "i-1", 30, 110, Load{})
	slow, fast := s.prefillTimeAt(now, s.servers["i-0"], 54_000), s.prefillTimeAt(now, s.servers["i-1"], 54_000)
	qt.Check(t, slow > 900*time.Millisecond && slow < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", slow))
	qt.Check(t, fast > 430*time.Millisecond && fast < 560*time.Millisecond, qt.IsTrue, qt.Commentf("%v", fast))
	req := prompt(54_000)
	req.Objective = 800 * time.Millisecond
	s.servers["i-1"].pendingTokens = 8000
	qt.Check(t, s.Place(now, req).Server, qt.Equals, "i-1")
}

// decisionsWithoutPace is the hash of the decisions under load of a router that does not estimate the pace of servers.
const decisionsWithoutPace = uint64(0xc43a72ce2b7f76a5)

// Guards against decisions that change where no server reports its slowdown and the settings do not ask for it,
// whatever was learnt or received.
func TestDecisionsAreAsBeforeWithoutPace(t *testing.T) {
	for name, mode := range map[string]pace.Mode{"auto": pace.Auto, "off": pace.Off} {
		qt.Check(t, decisionsUnderLoad(mode, 0), qt.Equals, decisionsWithoutPace, qt.Commentf("%s", name))
	}
	qt.Check(t, decisionsUnderLoad(pace.Off, 150), qt.Equals, decisionsWithoutPace)
	qt.Check(t, decisionsUnderLoad(pace.Auto, 150), qt.Not(qt.Equals), decisionsWithoutPace)
	qt.Check(t, decisionsUnderLoad(pace.On, 0), qt.Not(qt.Equals), decisionsWithoutPace)
}

// decisionsUnderLoad returns a hash of all decisions of one router on a mixed load of engines of unequal speed and
// application servers.
func decisionsUnderLoad(mode pace.Mode, slowdownPercent int) uint64 {
	cfg := DefaultConfig()
	cfg.Pace.Mode = mode
	if slowdownPercent > 0 {
		// Servers that report their slowdown have prompts treated by size, too.
		cfg.PromptMix.Mode = promptmix.ModeOff
	}
	s, rng, hash := New(cfg), rand.New(rand.NewPCG(7, 7)), fnv.New64a()
	s.SetService("llm", Traits{Engine: true, FetchRate: 2500, Objective: 500 * time.Millisecond})
	s.SetService("app", Traits{})
	for i := range 8 {
		s.Add(fmt.Sprint("i-", i), 0, "llm", "", 8)
	}
	for i := range 3 {
		s.Add(fmt.Sprint("a-", i), 0, "app", "", 6)
	}
	pending := make(map[int64][]func(now time.Time))
	for ms := range int64(8000) {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		for _, do := range pending[ms] {
			do(now)
		}
		delete(pending, ms)
		if rng.Float64() > 0.12 {
			continue
		}
		req := prompt(100+rng.IntN(12_000), Prefix{ID: uint64(rng.IntN(20)), Tokens: 80})
		req.Objective = 800 * time.Millisecond
		if rng.IntN(4) == 0 {
			req = Request{Service: "app", Team: "a"}
		}
		d := s.Place(now, req)
		_, _ = fmt.Fprintln(hash, d.Verdict, d.Server, d.Wait, d.Limit, d.RetryAfter, d.Unread, d.QueueTokens, d.QueueRuns, d.Source, d.Rank)
		if d.Run == nil {
			continue
		}
		first := ms + 20 + int64(req.Prompt)/80
		if d.Server == "i-3" {
			first += 200
		}
		running := rng.IntN(8)
		pending[first] = append(pending[first], func(now time.Time) {
			s.Reported(now, d.Run, loadOf(running, slowdownPercent))
			s.FirstByte(now, d.Run)
		})
		pending[first+300] = append(pending[first+300], func(now time.Time) { s.Ended(now, d.Run, health.Success) })
	}
	return hash.Sum64()
}

func loadOf(running, slowdownPercent int) Load {
	return Load{Running: running, Waiting: 1, Slots: 8, SlowdownPercent: slowdownPercent}
}

// What says nothing about the server is not learnt from: times that this router read late, runs whose request was
// sent before, and runs at cold servers or behind queues that are not known.
func TestTimesThatSayNothingAboutTheServerAreNotLearnt(t *testing.T) {
	for name, change := range map[string]func(s *State, req *Request){
		"late":       func(s *State, _ *Request) { s.SetLate(true) },
		"sent":       func(_ *State, req *Request) { req.Sent = true },
		"ran":        func(_ *State, req *Request) { req.MayHaveRun = true },
		"cold":       func(s *State, _ *Request) { s.servers["i-0"].cold = &warmup.Server{} },
		"no digests": func(s *State, _ *Request) { s.SetRouters(2) },
	} {
		s := pacedEngines(1)
		before := s.prefillTimeAt(epoch, s.servers["i-0"], 10_000)
		req := prompt(10_000)
		change(s, &req)
		c := s.assess(epoch, req, s.servers["i-0"], 0, nil)
		r := &Run{server: s.servers["i-0"], sentAt: epoch}
		s.expect(epoch, req, r, c)
		s.FirstByte(epoch.Add(time.Second), r)
		qt.Check(t, s.prefillTimeAt(epoch, s.servers["i-0"], 10_000), qt.Equals, before, qt.Commentf("%s", name))
	}
	s := pacedEngines(1)
	before := s.prefillTimeAt(epoch, s.servers["i-0"], 10_000)
	serveAlone(s, epoch, "i-0", 1, 10, Load{})
	qt.Check(t, s.prefillTimeAt(epoch.Add(time.Second), s.servers["i-0"], 10_000) > before, qt.IsTrue)
}

// A reported slowdown lengthens the estimates of its server at once, and for less than half a second.
func TestReportedSlowdownLengthensTheEstimate(t *testing.T) {
	s := engines(2)
	now := serveAlone(s, epoch, "i-0", 20, 66, Load{Running: 1, Slots: 64, SlowdownPercent: 100})
	usual := s.prefillTimeAt(now, s.servers["i-0"], 10_000)
	s.Reported(now, &Run{server: s.servers["i-0"]}, Load{Running: 1, Slots: 64, SlowdownPercent: 250})
	qt.Check(t, s.prefillTimeAt(now, s.servers["i-0"], 10_000) > 2*usual, qt.IsTrue)
	qt.Check(t, s.prefillTimeAt(now, s.servers["i-1"], 10_000) < 2*usual, qt.IsTrue)
	qt.Check(t, s.servers["i-0"].slots, qt.Equals, 64)
	later := s.prefillTimeAt(now.Add(450*time.Millisecond), s.servers["i-0"], 10_000)
	qt.Check(t, later < usual*11/10, qt.IsTrue, qt.Commentf("%v, usually %v", later, usual))
}

func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{50, 2200} {
		for _, mode := range []pace.Mode{pace.Off, pace.On} {
			b.Run(fmt.Sprintf("servers=%d/pace=%s", servers, mode), func(b *testing.B) {
				s := engines(servers)
				s.SetPaceMode(mode)
				now := epoch
				for b.Loop() {
					now = now.Add(time.Millisecond)
					d := s.Place(now, prompt(3000))
					if d.Run != nil {
						s.FirstByte(now, d.Run)
						s.Ended(now, d.Run, health.Success)
					}
				}
			})
		}
	}
}
