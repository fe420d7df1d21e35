package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/warmup"
)

// coldFleet returns a state with servers of which some are cold.
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

// New servers start cold and look idle beside busy ones: requests beyond their rate
// go to the others.
func TestRequestsBeyondColdRateGoToOthers(t *testing.T) {
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

// If all servers of a service are cold, requests beyond their rates are refused at
// once, with the time at which one of the servers may get more.
func TestRequestsBeyondAllColdRatesAreRefused(t *testing.T) {
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

// Measures a decision with 180 servers of which 60 are cold.
func BenchmarkPlaceWithColdServers(b *testing.B) {
	for _, cold := range []int{0, 60} {
		b.Run(fmt.Sprintf("cold=%d", cold), func(b *testing.B) {
			s, now := coldFleet(180, cold)
			benchmarkPlace(b, s, now)
		})
	}
}

// benchmarkPlace measures decisions whose runs end at once.
func benchmarkPlace(b *testing.B, s *State, now time.Time) {
	req := Request{Service: "llm", Prompt: 1000, Output: 10, SharedPrefixes: []Prefix{{ID: 7, Tokens: 500}}}
	b.ReportAllocs()
	for i := range b.N {
		at := now.Add(time.Duration(i) * time.Millisecond)
		if d := s.Place(at, req); d.Run != nil {
			s.Ended(at, d.Run, 0)
		}
	}
}
