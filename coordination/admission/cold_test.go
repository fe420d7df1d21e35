package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/warmup"
)

// coldFleet is a state before servers of which some are cold.
func coldFleet(all, cold int) (*State, time.Time) {
	now := time.Unix(1000, 0)
	cfg := warmup.DefaultConfig()
	cfg.Overrun, cfg.Slack = 1.5, 5
	w := warmup.New(cfg, "router")
	s := New(DefaultConfig())
	s.SetWarmup(w)
	s.SetService("llm", Traits{Engine: true, Objective: time.Second})
	w.SetService("llm", warmup.Service{Rate: 13, ColdFor: 3 * time.Second})
	w.SetRouters(map[string]uint64{"router": 1})
	w.SetRegistered(true)
	for i := range all {
		id := fmt.Sprintf("i-%d", i)
		s.Add(id, 0, "llm", "", 64)
		if i < cold {
			w.Entered(now, id, "llm", time.Minute, 2)
		}
	}
	return s, now
}

// New servers join cold beside busy ones and look idle: what is beyond their rate
// goes to the others.
func TestWorkBeyondAColdServersRateGoesToOthers(t *testing.T) {
	s, now := coldFleet(3, 1)
	sent := map[string]int{}
	for range 60 {
		d := s.Place(now, Request{Service: "llm", Prompt: 10, Output: 10})
		qt.Assert(t, d.Verdict, qt.Equals, Send)
		qt.Check(t, d.Run.SendBy().IsZero(), qt.Equals, d.Server != "i-0")
		sent[d.Server]++
	}
	qt.Check(t, sent["i-0"] <= 24, qt.IsTrue, qt.Commentf("%v", sent))
	qt.Check(t, sent["i-0"] >= 15, qt.IsTrue, qt.Commentf("%v", sent))
}

// All servers of a service are cold: what is beyond their rates is refused at once,
// with the time at which one of them may get more.
func TestWhenAllAreColdTheRestIsRefusedWithTheTime(t *testing.T) {
	s, now := coldFleet(2, 2)
	for range 48 {
		qt.Assert(t, s.Place(now, Request{Service: "llm", Prompt: 10, Output: 10}).Verdict, qt.Equals, Send)
	}
	d := s.Place(now.Add(400*time.Millisecond), Request{Service: "llm", Prompt: 10, Output: 10})
	qt.Check(t, d.Verdict, qt.Equals, Refuse)
	qt.Check(t, d.Reason, qt.Equals, ReasonCold)
	qt.Check(t, d.RetryAfter, qt.Equals, 700*time.Millisecond)
	d = s.Place(now.Add(1100*time.Millisecond), Request{Service: "llm", Prompt: 10, Output: 10})
	qt.Check(t, d.Verdict, qt.Equals, Send)
}

// What a decision costs beside 180 servers of which 60 are cold.
func BenchmarkPlaceBesideColdServers(b *testing.B) {
	for _, cold := range []int{0, 60} {
		b.Run(fmt.Sprintf("cold=%d", cold), func(b *testing.B) {
			s, now := coldFleet(180, cold)
			benchmarkPlace(b, s, now)
		})
	}
}

// benchmarkPlace measures decisions, each of which ends at once.
func benchmarkPlace(b *testing.B, s *State, now time.Time) {
	req := Request{Service: "llm", Prompt: 1000, Output: 10, Shared: []Part{{ID: 7, Tokens: 500}}}
	b.ReportAllocs()
	for i := range b.N {
		at := now.Add(time.Duration(i) * time.Millisecond)
		if d := s.Place(at, req); d.Run != nil {
			s.Ended(at, d.Run, 0)
		}
	}
}
