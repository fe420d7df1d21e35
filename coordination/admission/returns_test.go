package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/health"
)

// asking is a first attempt with an objective of 500 ms.
func asking(tokens int) Request {
	req := prompt(tokens)
	req.Team, req.Objective = "team", 500*time.Millisecond
	return req
}

// withReturns returns an engine with a queue of the given wait, whose service has the
// traits.
func withReturns(returns Returns, uneven bool, queue time.Duration) *State {
	s := queued(engines(1), queue)
	s.cfg.Returns = returns
	s.SetService("llm", Traits{Engine: true, Objective: 500 * time.Millisecond, UnevenObjectives: uneven})
	return s
}

// A flooding team's credit comes in more than a second, while the engine's queue is short:
// its refused callers come back while they can be in time. A caller that came back has no
// further attempt, and one that is late at any server cannot be in time: their times stay.
func TestCallersOfAThrottledTeamComeBackInTime(t *testing.T) {
	const credit = 1200 * time.Millisecond
	inTime := time.Duration(0.6 * float64(500*time.Millisecond-100*time.Millisecond-firstTokenBase))
	for _, tc := range []struct {
		name   string
		change func(*State, *Request, *candidate)
		want   time.Duration
	}{
		{"first attempt", func(*State, *Request, *candidate) {}, inTime},
		{"off", func(s *State, _ *Request, _ *candidate) { s.SetReturns(ReturnsOff) }, credit},
		{"objectives alike", func(s *State, _ *Request, _ *candidate) { s.SetReturns(ReturnsAuto) }, credit},
		{"comes back", func(_ *State, r *Request, _ *candidate) { r.Elapsed = 300 * time.Millisecond }, credit},
		{"late at any server", func(_ *State, _ *Request, c *candidate) { c.prefill = 900 * time.Millisecond }, credit},
		{"no objective", func(_ *State, r *Request, _ *candidate) { r.Objective = 0 }, credit},
	} {
		s, req, c := withReturns(ReturnsOn, false, 0), asking(600), candidate{prefill: 100 * time.Millisecond}
		tc.change(s, &req, &c)
		got := s.returnInTime(s.pool("llm"), req, c, credit, 20*time.Millisecond)
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
	// A shorter time stays.
	s := withReturns(ReturnsOn, false, 0)
	qt.Check(t, s.returnInTime(s.pool("llm"), asking(600), candidate{}, 60*time.Millisecond, 0), qt.Equals, 60*time.Millisecond)
}

// Guards against a time before there is room: a queue that lasts for longer than the
// objective is told as it is.
func TestLongQueueIsToldAsItIs(t *testing.T) {
	for _, queue := range []time.Duration{450 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		d := withReturns(ReturnsOn, true, queue).Place(epoch, asking(600))
		qt.Assert(t, d.Verdict, qt.Equals, Refuse)
		qt.Check(t, d.RetryAfter, qt.Equals, d.Wait-d.Limit)
	}
}

// Guards against a change for services that do not call for it: where it is switched off, and
// where objectives are alike, the decisions of a router under load are the same to the
// nanosecond, and where they are not alike they differ.
func TestServicesWithLikeObjectivesAreDecidedAsBefore(t *testing.T) {
	decisions := func(returns Returns, uneven bool) (out []string) {
		s, r, now := withReturns(returns, uneven, 0), rand.New(rand.NewPCG(3, 5)), epoch
		s.SetCapacity(60_000)
		for range 4000 {
			now = now.Add(time.Duration(r.IntN(8)) * time.Millisecond)
			req := asking(200 + r.IntN(8_000))
			req.Team = fmt.Sprint("team-", r.IntN(3))
			d := s.Place(now, req)
			run := d.Run
			d.Run = nil
			out = append(out, fmt.Sprintf("%+v", d))
			if run != nil && r.IntN(3) > 0 {
				s.FirstByte(now, run)
				s.Ended(now, run, health.Success)
			}
		}
		return out
	}
	off := decisions(ReturnsOff, true)
	qt.Check(t, decisions(ReturnsAuto, false), qt.DeepEquals, off)
	qt.Check(t, decisions(ReturnsAuto, true), qt.Not(qt.DeepEquals), off)
}

// Peaks that refuse many callers, see heavyReturns: as many callers are answered in time as
// with the time of credit and queue, and in peaks of all teams more are. The tolerance is one
// standard error.
func TestMoreCallersAreInTimeInPeaks(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	for _, load := range heavyReturns() {
		t.Run(load.name, func(t *testing.T) {
			var before, now, beforeOthers, others returnTally
			for seed := range uint64(2) {
				off, on := newReturnsFleet(load, ReturnsOff, seed), newReturnsFleet(load, ReturnsOn, seed)
				off.run()
				on.run()
				before.add(off.flood)
				now.add(on.flood)
				beforeOthers.add(off.others)
				others.add(on.others)
			}
			t.Logf("flooding team off: %v", before)
			t.Logf("flooding team on:  %v", now)
			t.Logf("others off: %v", beforeOthers)
			t.Logf("others on:  %v", others)
			before.add(beforeOthers)
			now.add(others)
			qt.Check(t, percent(others.onTime, others.calls) >= percent(beforeOthers.onTime, others.calls)-standardError(others.calls), qt.IsTrue)
			qt.Check(t, percent(now.onTime, now.calls) >= percent(before.onTime, now.calls)-standardError(now.calls), qt.IsTrue)
			if load.isOfAll {
				qt.Check(t, now.onTime > before.onTime, qt.IsTrue)
			}
		})
	}
}

func BenchmarkPlaceRefused(b *testing.B) {
	for _, n := range []int{50, 2200} {
		for _, returns := range []Returns{ReturnsOff, ReturnsOn} {
			b.Run(fmt.Sprintf("servers=%d/on=%v", n, returns == ReturnsOn), func(b *testing.B) {
				s := engines(n)
				s.cfg.Returns = returns
				for _, srv := range s.servers {
					s.startRun(epoch, srv, 60_000, nil)
				}
				req := asking(6000)
				req.SharedPrefixes = []Prefix{document}
				b.ReportAllocs()
				for b.Loop() {
					s.Place(epoch, req)
				}
			})
		}
	}
}
