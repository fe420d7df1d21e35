package throttle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"goldcrestport/coordination/fairshare"
)

// thresholdLimiter refuses all requests of a team that got more than a factor of what the
// least served team got in the window.
type thresholdLimiter struct {
	r      *router
	factor float64
}

func (l thresholdLimiter) admits(_ time.Time, team fairshare.TeamID) (bool, time.Duration) {
	const unmetFraction, minExcess, nearFraction, maxLead = 0.7, 1.3, 0.7, 1.9
	level, least, got := l.r.meter.Level(), math.Inf(1), 0.0
	l.r.meter.Each(func(id fairshare.TeamID, use fairshare.Use) {
		if id == team {
			got = use.Started
		}
		if use.Requested >= level && use.Started < unmetFraction*use.Requested {
			least = min(least, use.Started)
		}
	})
	factor := l.factor
	if least >= nearFraction*level {
		factor = max(factor, maxLead)
	}
	refused := level > 0 && got > max(factor*least, minExcess*level)
	return !refused, 50 * time.Millisecond
}

func (thresholdLimiter) recordRequest(time.Time, fairshare.TeamID, float64) {}

func (thresholdLimiter) recordSent(time.Time, fairshare.TeamID, float64) {}

// fractionLimiter refuses a fraction of the requests of each team that requests more than
// it may, by the sums of the window.
type fractionLimiter struct {
	r    *router
	rand *rand.Rand
}

func (p *fractionLimiter) admits(_ time.Time, team fairshare.TeamID) (bool, time.Duration) {
	level, least := p.r.meter.Level(), math.Inf(1)
	var own fairshare.Use
	p.r.meter.Each(func(id fairshare.TeamID, use fairshare.Use) {
		if id == team {
			own = use
		}
		if use.Requested >= level && use.Started < 0.7*use.Requested {
			least = min(least, use.Started)
		}
	})
	if level == 0 || math.IsInf(least, 1) || own.Requested == 0 {
		return true, 0
	}
	return p.rand.Float64() < max(1.35*least, level)/own.Requested, 50 * time.Millisecond
}

func (*fractionLimiter) recordRequest(time.Time, fairshare.TeamID, float64) {}

func (*fractionLimiter) recordSent(time.Time, fairshare.TeamID, float64) {}

// rateLimiter throttles by rates, fed with the sums that the routers report.
type rateLimiter struct {
	r        *router
	state    *State[fairshare.TeamID]
	observed time.Time
}

func newRateLimiter(cfg Config) func(*router) limiter {
	return func(r *router) limiter { return &rateLimiter{r: r, state: New[fairshare.TeamID](cfg)} }
}

func (b *rateLimiter) admits(now time.Time, team fairshare.TeamID) (bool, time.Duration) {
	if now.Sub(b.observed) >= 50*time.Millisecond {
		b.observed = now
		b.state.Observe(now, b.r.meter.Share(), b.teams())
	}
	ok, after := b.state.Admits(now, team)
	return ok, max(after, 50*time.Millisecond)
}

func (b *rateLimiter) teams() map[fairshare.TeamID]Team {
	out := make(map[fairshare.TeamID]Team)
	b.r.meter.Each(func(id fairshare.TeamID, use fairshare.Use) {
		out[id] = Team{RequestedRate: use.RequestedRate, StartedRate: use.StartedRate, ThrottledRate: use.ThrottledRate, MeanStartedRate: use.Started / modelWindow.Seconds()}
	})
	return out
}

func (b *rateLimiter) recordRequest(now time.Time, team fairshare.TeamID, tokens float64) {
	b.state.Ask(now, team, tokens)
}

func (b *rateLimiter) recordSent(now time.Time, team fairshare.TeamID, tokens float64) {
	b.state.Sent(now, team, tokens)
}

var designs = []struct {
	name string
	make func(*router) limiter
}{
	{"switch", func(r *router) limiter { return thresholdLimiter{r, 1.5} }},
	{"part", func(r *router) limiter { return &fractionLimiter{r: r, rand: rand.New(rand.NewPCG(3, 3))} }},
	{"rate", newRateLimiter(DefaultConfig())},
}

// production is the design that routers use.
var production = newRateLimiter(DefaultConfig())

// BenchmarkDesigns compares the designs.
func BenchmarkDesigns(b *testing.B) {
	for _, s := range scenarios(1) {
		for _, d := range designs {
			b.Run(fmt.Sprint(s, " ", d.name), func(b *testing.B) {
				for range b.N {
					result := play(s, d.make)
					b.ReportMetric(result.least, "least")
					b.ReportMetric(result.first, "first")
					b.ReportMetric(result.swing, "swing")
					b.ReportMetric(result.used, "used")
				}
			})
		}
	}
}
