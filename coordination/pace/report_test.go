package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against routers that each see too few answers: 27 routers that observe one prompt each report to all of them
// which of two servers is slow.
func TestRoutersShareWhatTheyLearnt(t *testing.T) {
	var routers []*State
	for range 27 {
		s := New(alwaysOn())
		s.Add(1, "llm")
		s.Add(2, "llm")
		routers = append(routers, s)
	}
	for i, s := range routers {
		s.servers[ServerID(1+i%2)].Observe(epoch, prefilled(20_000, []float64{110, 50}[i%2]))
	}
	now := epoch.Add(time.Second)
	for i, s := range routers {
		report := s.TakeReport(now)
		qt.Assert(t, report.Servers, qt.HasLen, 1)
		for j, other := range routers {
			if i != j {
				other.Merge(now, report)
			}
		}
	}
	for _, s := range routers {
		fast, slow := rateOf(s.servers[1], now), rateOf(s.servers[2], now)
		qt.Check(t, fast > 1.5*slow, qt.IsTrue, qt.Commentf("%v, %v", fast, slow))
	}
}

// A server is named only while there is new evidence, and what is not named stays for the next report.
func TestOnlyNewEvidenceIsReported(t *testing.T) {
	cfg := alwaysOn()
	cfg.Sharing.MaxServers = 2
	s := New(cfg)
	for i := range 3 {
		s.Add(ServerID(i), "llm").Observe(epoch, prefilled(float64(10_000*(1+i)), 70))
	}
	first := s.TakeReport(epoch)
	qt.Assert(t, first.Servers, qt.HasLen, 2)
	qt.Check(t, first.Servers[0].Server, qt.Equals, ServerID(2))
	qt.Check(t, s.TakeReport(epoch).Servers, qt.HasLen, 1)
	qt.Check(t, s.TakeReport(epoch).Servers, qt.HasLen, 0)
	// A service for which the estimate is not used is not reported.
	s.SetMode(Off)
	s.servers[1].Observe(epoch, prefilled(50_000, 70))
	qt.Check(t, s.TakeReport(epoch).Servers, qt.HasLen, 0)
}

// Guards against one router with wrong figures: they are limited like observations, an old report counts less,
// and figures that are no numbers or of unknown servers are left out.
func TestImplausibleReportsCostABoundedError(t *testing.T) {
	s := New(alwaysOn())
	srv := s.Add(1, "llm")
	now := learn(srv, epoch, 60, 100)
	for _, one := range []Evidence{
		{Server: 1, Tokens: math.NaN(), TokenTime: 0.01},
		{Server: 1, Tokens: 1e6, TokenTime: math.NaN()},
		{Server: 1, Tokens: 1e6},
		{Server: 99, Tokens: 1e6, TokenTime: 1},
	} {
		s.Merge(now, Report{Servers: []Evidence{one}})
	}
	qt.Check(t, isNear(rateOf(srv, now), 100), qt.IsTrue)
	s.Merge(now, Report{Age: time.Hour, Servers: []Evidence{{Server: 1, Tokens: 1e12, TokenTime: 1}}})
	qt.Check(t, isNear(rateOf(srv, now), 100), qt.IsTrue)
	s.Merge(now, Report{Servers: []Evidence{{Server: 1, Tokens: 1e12, TokenTime: 1e12}}})
	qt.Check(t, rateOf(srv, now) > 100/DefaultConfig().Outlier, qt.IsTrue, qt.Commentf("%v", rateOf(srv, now)))
	qt.Check(t, isNear(rateOf(srv, learn(srv, now, 60, 100)), 100), qt.IsTrue)
}

// Guards against control traffic that grows with the fleet: 800 routers send no more bytes per second than 27, and
// all get reports in turn.
func TestReportsStayWithinTheirBytes(t *testing.T) {
	const size = 100
	for _, routers := range []int{2, 27, 800} {
		cfg := DefaultConfig().Sharing
		r := NewRounds(cfg)
		var others []string
		for i := range routers - 1 {
			others = append(others, fmt.Sprintf("r-%03d", i))
		}
		sent, bytes := make(map[string]int), 0
		const span = 200 * time.Second
		for at := time.Duration(0); at < span; at += 50 * time.Millisecond {
			now := epoch.Add(at)
			if r.Due(now) {
				r.Start(now, Report{Servers: make([]Evidence, cfg.MaxServers)}, others)
			}
			for _, id := range r.Next(now, size) {
				sent[id]++
				bytes += size + networkHeaders
			}
		}
		qt.Check(t, float64(bytes) <= cfg.Burst+cfg.BytesPerSecond*span.Seconds(), qt.IsTrue)
		qt.Check(t, sent, qt.HasLen, routers-1)
		least, most := math.MaxInt, 0
		for _, n := range sent {
			least, most = min(least, n), max(most, n)
		}
		qt.Check(t, most-least <= 2, qt.IsTrue, qt.Commentf("%d to %d at %d routers", least, most, routers))
	}
}

// Nothing is sent without evidence, and a round without other routers ends at once.
func TestEmptyRounds(t *testing.T) {
	r := NewRounds(DefaultConfig().Sharing)
	r.Start(epoch, Report{}, []string{"r-1"})
	_, pending := r.Pending(epoch)
	qt.Check(t, pending, qt.IsFalse)
	qt.Check(t, r.Due(epoch), qt.IsFalse)
	qt.Check(t, r.Due(epoch.Add(time.Second)), qt.IsTrue)
	r.Start(epoch.Add(time.Second), Report{Servers: make([]Evidence, 1)}, nil)
	qt.Check(t, r.Next(epoch.Add(time.Second), 20), qt.HasLen, 0)
}
