package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1_700_000_000, 0)

// prefilled is an observation of a prefill without a queue at a rate in tokens per millisecond.
func prefilled(tokens, rate float64) Observation {
	return Observation{Own: tokens, Took: DefaultConfig().Overhead + time.Duration(tokens/rate*float64(time.Millisecond))}
}

// learn lets a server prefill at a rate, one prompt of 10,000 tokens per second, and returns the time after it.
func learn(srv *Server, now time.Time, prompts int, rate float64) time.Time {
	for range prompts {
		now = now.Add(time.Second)
		srv.Observe(now, prefilled(10_000, rate))
	}
	return now
}

func rateOf(srv *Server, now time.Time) float64 { return 1 / srv.TokenTime(now) }

// unobserved is the time per token of a server of a service without observations.
var unobserved = New(alwaysOn()).Add(1, "llm").TokenTime(epoch)

func isNear(got, want float64) bool { return math.Abs(got-want) <= 0.15*want }

func alwaysOn() Config {
	cfg := DefaultConfig()
	cfg.Mode = On
	return cfg
}

func TestConfigIsValidated(t *testing.T) {
	qt.Check(t, DefaultConfig().Validate(), qt.IsNil)
	for what, spoil := range map[string]func(c *Config){
		"Mode":       func(c *Config) { c.Mode = "sometimes" },
		"Rate":       func(c *Config) { c.Rate = 0 },
		"MaxServers": func(c *Config) { c.Sharing.MaxServers = 256 },
	} {
		bad := DefaultConfig()
		spoil(&bad)
		qt.Check(t, bad.Validate(), qt.ErrorMatches, ".*"+what+".*")
	}
}

// Guards against the pace of one slow machine in the estimate of all servers of its service.
func TestEachServerHasItsOwnPace(t *testing.T) {
	s := New(alwaysOn())
	fast, slow, idle := s.Add(1, "llm"), s.Add(2, "llm"), s.Add(3, "llm")
	other := s.Add(4, "other")
	now := learn(fast, epoch, 30, 110)
	now = learn(slow, now, 30, 50)
	qt.Check(t, isNear(rateOf(fast, now), 110), qt.IsTrue, qt.Commentf("%v", rateOf(fast, now)))
	qt.Check(t, isNear(rateOf(slow, now), 50), qt.IsTrue, qt.Commentf("%v", rateOf(slow, now)))
	// A server without observations has the pace of its service.
	qt.Check(t, rateOf(idle, now) > 55 && rateOf(idle, now) < 100, qt.IsTrue, qt.Commentf("%v", rateOf(idle, now)))
	qt.Check(t, other.TokenTime(now), qt.Equals, unobserved)
}

// Guards against a wrong assumed rate: engines that are twice as fast or half as fast as assumed cost a bounded
// error, for as long as a few long prompts.
func TestWrongInitialRateIsCorrected(t *testing.T) {
	for _, rate := range []float64{DefaultConfig().Rate / 2, DefaultConfig().Rate * 2} {
		s := New(alwaysOn())
		srv, fresh := s.Add(1, "llm"), s.Add(2, "llm")
		now := learn(srv, epoch, 12, rate)
		qt.Check(t, rateOf(srv, now)/rate > 0.7 && rateOf(srv, now)/rate < 1.4, qt.IsTrue, qt.Commentf("%v of %v", rateOf(srv, now), rate))
		now = learn(srv, now, 60, rate)
		qt.Check(t, isNear(rateOf(srv, now), rate), qt.IsTrue, qt.Commentf("%v of %v", rateOf(srv, now), rate))
		qt.Check(t, rateOf(fresh, now)/rate > 0.7 && rateOf(fresh, now)/rate < 1.4, qt.IsTrue)
	}
}

// Guards against outliers: one run in five waits behind work that this router does not know of.
func TestUnknownQueuesDoNotPassForASlowServer(t *testing.T) {
	s, rng := New(alwaysOn()), rand.New(rand.NewPCG(1, 1))
	srv, now := s.Add(1, "llm"), epoch
	for range 100 {
		now = now.Add(time.Second)
		o := prefilled(10_000, 100)
		if rng.Float64() < 0.2 {
			o.Took += time.Duration(rng.Float64() * float64(time.Second))
		}
		srv.Observe(now, o)
	}
	qt.Check(t, isNear(rateOf(srv, now), 100), qt.IsTrue, qt.Commentf("%v", rateOf(srv, now)))
	before := rateOf(srv, now)
	srv.Observe(now, Observation{Own: 10_000, Took: time.Hour})
	qt.Check(t, rateOf(srv, now) > 0.9*before, qt.IsTrue)
}

// What says little about the server is not observed: short prefills, long queues, prefixes that may have been
// cached.
func TestUncertainObservationsAreIgnored(t *testing.T) {
	s := New(alwaysOn())
	srv := s.Add(1, "llm")
	for _, o := range []Observation{
		{Own: 1500, Took: time.Second},
		{Own: 10_000, Queue: 6000, Took: time.Second},
		{Own: 10_000, Uncertain: 2500, Took: time.Second},
	} {
		srv.Observe(epoch, o)
	}
	qt.Check(t, srv.TokenTime(epoch), qt.Equals, unobserved)
}

// Guards against bursts of other work on the machine that pass for a slow server: a reported slowdown is taken out
// of what is learnt, used at once, and forgotten within half a second.
func TestReportedSlowdownIsUsedForAMoment(t *testing.T) {
	s := New(DefaultConfig())
	srv, other := s.Add(1, "llm"), s.Add(2, "llm")
	qt.Check(t, srv.InUse(epoch), qt.IsFalse)
	now := epoch
	for range 60 {
		now = now.Add(time.Second)
		srv.Reported(now, 2.5)
		o := prefilled(10_000, 100/2.5)
		o.Slowdown = 2.5
		srv.Observe(now, o)
	}
	qt.Check(t, isNear(rateOf(srv, now), 100), qt.IsTrue, qt.Commentf("%v", rateOf(srv, now)))
	qt.Check(t, srv.Slowdown(now), qt.Equals, 2.5)
	qt.Check(t, other.Slowdown(now), qt.Equals, 1.0)
	half := srv.Slowdown(now.Add(DefaultConfig().ReportTTL / 2))
	qt.Check(t, half > 1.5 && half < 2, qt.IsTrue)
	qt.Check(t, srv.Slowdown(now.Add(500*time.Millisecond)), qt.Equals, 1.0)
	qt.Check(t, other.InUse(now), qt.IsTrue)
	qt.Check(t, other.InUse(now.Add(2*DefaultConfig().ReportingTTL)), qt.IsFalse)
	s.SetMode(Off)
	qt.Check(t, other.InUse(now), qt.IsFalse)
}

func TestOverheadIsLearntFromShortPrompts(t *testing.T) {
	s := New(alwaysOn())
	srv := s.Add(1, "llm")
	for i := range 2000 {
		took := 60 * time.Millisecond
		if i%2 == 0 {
			took += 100 * time.Millisecond
		}
		srv.Observe(epoch.Add(time.Duration(i)*10*time.Millisecond), Observation{Own: 300, Took: took})
	}
	qt.Check(t, srv.Overhead() > 50*time.Millisecond && srv.Overhead() < 65*time.Millisecond, qt.IsTrue, qt.Commentf("%v", srv.Overhead()))
}

// A new incarnation of a server begins at the pace of its service.
func TestRestartedServerBeginsAtThePaceOfItsService(t *testing.T) {
	s := New(alwaysOn())
	now := epoch
	for i := range 5 {
		now = learn(s.Add(ServerID(i), "llm"), now, 10, 100)
	}
	slow := s.Add(9, "llm")
	now = learn(slow, now, 10, 40)
	s.Remove(9)
	restarted := s.Add(10, "llm")
	qt.Check(t, rateOf(restarted, now) > 70, qt.IsTrue, qt.Commentf("%v", rateOf(restarted, now)))
}

// Evidence loses its weight: a server that nobody observes any more returns to the pace of its service.
func TestEvidenceAges(t *testing.T) {
	s := New(alwaysOn())
	srv := s.Add(1, "llm")
	now := learn(srv, epoch, 30, 20)
	late := now.Add(time.Hour)
	qt.Check(t, isNear(rateOf(srv, late), DefaultConfig().Rate), qt.IsTrue, qt.Commentf("%v", rateOf(srv, late)))
}
