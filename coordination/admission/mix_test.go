package admission

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/promptmix"
)

// mixNoise is what the mean share of a few plays may differ by without a cause.
const mixNoise = 0.05

// commonMix is a fleet in which routers know of each other's sends after 100 to 400 ms.
func commonMix(servers, routers int, load float64) mixLoad {
	return mixLoad{servers: servers, routers: routers, load: load, longWork: 0.6, digestEvery: 300 * time.Millisecond, digestDelay: 100 * time.Millisecond}
}

func changed(l mixLoad, change func(*mixLoad)) mixLoad {
	change(&l)
	return l
}

// Long prompts beside short ones, at loads from half to beyond what the servers can do,
// with few servers and many, old knowledge, a mix that changes, one kind only, a lost
// server, and teams that demand more than their shares. Neither kind may get less than
// without the treatment by size, nor may the largest tenth of the long prompts.
func TestNeitherLongNorShortPromptsAreStarved(t *testing.T) {
	for name, l := range map[string]mixLoad{
		"load 0.5":            commonMix(50, 12, 0.5),
		"load 0.8":            commonMix(50, 12, 0.8),
		"load 1.0":            commonMix(50, 12, 1),
		"load 1.2":            commonMix(50, 12, 1.2),
		"beyond shares":       changed(commonMix(50, 12, 0.8), func(l *mixLoad) { l.capacity = 0.35 }),
		"far beyond shares":   changed(commonMix(50, 12, 1), func(l *mixLoad) { l.capacity = 0.35 }),
		"few servers":         commonMix(3, 3, 0.8),
		"few and full":        commonMix(3, 3, 1),
		"few, beyond shares":  changed(commonMix(3, 3, 1), func(l *mixLoad) { l.capacity = 0.35 }),
		"second-old digests":  changed(commonMix(50, 12, 0.8), func(l *mixLoad) { l.digestEvery, l.digestDelay = 600*time.Millisecond, 600*time.Millisecond }),
		"only long prompts":   changed(commonMix(50, 12, 1), func(l *mixLoad) { l.longWork = 1 }),
		"only short prompts":  changed(commonMix(50, 12, 1), func(l *mixLoad) { l.longWork = 0 }),
		"mix changes":         changed(commonMix(50, 12, 0.9), func(l *mixLoad) { l.longWork, l.swaps = 0.8, true }),
		"one of four is lost": changed(commonMix(4, 3, 0.8), func(l *mixLoad) { l.lost = true }),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds := 2
			if l.servers < 10 {
				seeds = 16
			}
			off, on := playMix(l, promptmix.ModeOff, seeds), playMix(l, promptmix.ModeAuto, seeds)
			t.Logf("off %+.2v\non  %+.2v", off, on)
			qt.Check(t, on.short > off.short-mixNoise, qt.IsTrue, qt.Commentf("short: %.3f, %.3f without", on.short, off.short))
			qt.Check(t, on.long > off.long-mixNoise, qt.IsTrue, qt.Commentf("long: %.3f, %.3f without", on.long, off.long))
			qt.Check(t, on.largestTenth > off.largestTenth-2*mixNoise, qt.IsTrue, qt.Commentf("largest tenth: %.3f, %.3f without", on.largestTenth, off.largestTenth))
		})
	}
}

// mixedServers returns servers of a service whose objectives are far apart.
func mixedServers(n int) *State {
	s := engines(n)
	s.SetService("llm", Traits{Engine: true, Objective: shortObjective, LongestObjective: longObjective})
	return s
}

func longPrompt(tokens int) Request {
	req := prompt(tokens)
	req.Objective = longObjective
	return req
}

// A long prompt may wait for a part of its own objective, and no longer than with it on
// time. Once short ones are crowded, it may wait no longer than without regard to it.
func TestLongPromptsWaitByTheirOwnObjective(t *testing.T) {
	for _, tc := range []struct {
		tokens  int
		queue   time.Duration
		crowded int
		want    Verdict
	}{
		{12000, 300 * time.Millisecond, 0, Send},
		{12000, 600 * time.Millisecond, 0, Refuse},
		{12000, 300 * time.Millisecond, 20, Refuse},
		{12000, 100 * time.Millisecond, 20, Send},
		// 682 ms of prefill leave 138 ms of 85 % of the objective.
		{45000, 130 * time.Millisecond, 0, Send},
		{45000, 200 * time.Millisecond, 0, Refuse},
		{45000, 20 * time.Millisecond, 20, Send},
	} {
		s := queued(mixedServers(1), tc.queue)
		for range tc.crowded {
			s.pool("llm").mix.ObserveShort(epoch, true)
		}
		qt.Check(t, s.Place(epoch, longPrompt(tc.tokens)).Verdict, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// A long prompt of a team beyond its share is admitted as without the treatment by size: it
// takes no queues from the short prompts of teams whose limits are as small.
func TestTeamsBeyondTheirSharesGetNoAdditionalWait(t *testing.T) {
	on, off := mixedServers(1), mixedServers(1)
	off.SetPromptMixMode(promptmix.ModeOff)
	req := longPrompt(12000)
	c := on.candidates(epoch, req, on.pool("llm").servers)[0]
	within, beyond := standing{share: 0.9}, standing{share: 1.1}
	qt.Check(t, on.admissionLimit(epoch, req, c, beyond), qt.Equals, off.admissionLimit(epoch, req, c, beyond))
	qt.Check(t, on.admissionLimit(epoch, req, c, within) > 2*off.admissionLimit(epoch, req, c, within), qt.IsTrue)
}

// Of two servers, a long prompt goes to the one where a long prompt waits already, as short
// ones go to the other one anyway. It goes to the empty one if it would be refused otherwise.
func TestLongPromptsShareServers(t *testing.T) {
	for _, tc := range []struct {
		queue time.Duration
		want  string
	}{
		{160 * time.Millisecond, "i-0"},
		{900 * time.Millisecond, "i-1"},
	} {
		s := queued(mixedServers(2), tc.queue)
		for range 400 {
			s.pool("llm").mix.ObserveShort(epoch, false)
		}
		qt.Check(t, s.Place(epoch, longPrompt(20000)).Server, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// decisions returns a checksum of what a router decides on a mix of prompts.
func decisions(cfg Config, traits Traits) uint64 {
	s, sum, now := New(cfg), fnv.New64a(), epoch
	s.SetCapacity(60000)
	s.SetService("llm", traits)
	for i := range 6 {
		s.Add(fmt.Sprint("i-", i), 0, "llm", "", 64)
	}
	var running []*Run
	for i := range 3000 {
		req := prompt(200+i*i*37%9000, Prefix{ID: uint64(i * 7 % 50), Tokens: 100 + i%90})
		req.Team, req.Objective = fmt.Sprint("t-", i%7*i%5), shortObjective
		if i%6 == 0 {
			req.Prompt, req.Objective = 4000+i*i*91%50000, longObjective
		}
		if i%5 == 0 {
			req.Elapsed = 100 * time.Millisecond
		}
		d := s.Place(now, req)
		fmt.Fprintln(sum, d.Verdict, d.Server, d.Wait, d.Limit, d.RetryAfter, d.Rank, d.Unread, d.QueueTokens, d.Source)
		if d.Run != nil {
			running = append(running, d.Run)
		}
		now = now.Add(11 * time.Millisecond)
		if len(running) > 12 {
			s.FirstByte(now, running[6])
			s.Ended(now, running[0], health.Success)
			running = running[1:]
		}
	}
	return sum.Sum64()
}

// earlierDecisions is the checksum of the decisions that were made before there was a
// treatment by size.
const earlierDecisions = 7890062318872426169

// Services whose objectives are near each other, or whose settings turn the treatment by
// size off, are served exactly as before it existed.
func TestOtherServicesAreServedAsBefore(t *testing.T) {
	wide := Traits{Engine: true, FetchRate: 2500, Objective: shortObjective, LongestObjective: longObjective}
	near := Traits{Engine: true, FetchRate: 2500, Objective: shortObjective, LongestObjective: 700 * time.Millisecond}
	on, off := DefaultConfig(), DefaultConfig()
	on.PromptMix.Mode, off.PromptMix.Mode = promptmix.ModeOn, promptmix.ModeOff
	qt.Check(t, decisions(DefaultConfig(), near), qt.Equals, uint64(earlierDecisions))
	qt.Check(t, decisions(off, wide), qt.Equals, uint64(earlierDecisions))
	qt.Check(t, decisions(DefaultConfig(), wide), qt.Not(qt.Equals), uint64(earlierDecisions))
	qt.Check(t, decisions(on, near), qt.Not(qt.Equals), uint64(earlierDecisions))
}

// The cost of a decision about a long prompt, with the treatment by size and without.
// A service whose objectives lie close together is treated by size once its servers report how long work
// takes, unless the settings say no.
func TestServicesThatReportSlowdownAreTreatedBySize(t *testing.T) {
	for _, tc := range []struct {
		percent int
		mode    promptmix.Mode
		want    bool
	}{{0, promptmix.ModeAuto, false}, {130, promptmix.ModeAuto, true}, {130, promptmix.ModeOff, false}} {
		cfg := DefaultConfig()
		cfg.PromptMix.Mode = tc.mode
		s := New(cfg)
		s.SetService("llm", Traits{Engine: true, Objective: 500 * time.Millisecond, LongestObjective: 800 * time.Millisecond})
		s.Add("a", 1, "llm", "", 64)
		d := s.Place(epoch, Request{Service: "llm", Team: "t", Prompt: 1000, Objective: 500 * time.Millisecond})
		qt.Assert(t, d.Run, qt.IsNotNil)
		s.Reported(epoch, d.Run, Load{Running: 1, Slots: 64, SlowdownPercent: tc.percent})
		qt.Check(t, s.mixApplies(s.pool("llm")), qt.Equals, tc.want)
	}
}

func BenchmarkPlaceLongPrompt(b *testing.B) {
	for _, servers := range []int{50, 2200} {
		for _, mode := range []promptmix.Mode{promptmix.ModeOff, promptmix.ModeAuto} {
			b.Run(fmt.Sprintf("%d servers, %s", servers, mode), func(b *testing.B) {
				cfg := DefaultConfig()
				cfg.PromptMix.Mode = mode
				s := New(cfg)
				s.SetService("llm", Traits{Engine: true, FetchRate: 2500, Objective: shortObjective, LongestObjective: longObjective})
				for i := range servers {
					s.Add(fmt.Sprint("i-", i), 0, "llm", "", 64)
				}
				req := longPrompt(12000)
				req.SharedPrefixes = []Prefix{document}
				b.ReportAllocs()
				for b.Loop() {
					if d := s.Place(epoch, req); d.Run != nil {
						s.Ended(epoch, d.Run, health.Success)
					}
				}
			})
		}
	}
}
