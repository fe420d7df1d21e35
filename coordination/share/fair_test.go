package share

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxGapRatio is how much larger the worst gap may be than that of an exact global
// scheduler.
const maxGapRatio = 1.25

// Compares the pool with one scheduler over all its slots, on the same arrivals and with
// the same parameters.
func TestGapAgainstExactScheduler(t *testing.T) {
	const seeds = 4
	all := pool12(0, 120*time.Second)
	exchanged := all
	exchanged.exchange = 5 * time.Second
	subset := exchanged
	subset.subset, subset.exchange = 5, 2*time.Second
	exact, _ := averageGap(all.exact(), seeds)
	for name, sc := range map[string]scenario{"all, no exchange": all, "all, exchange every 5s": exchanged, "subset of 5, exchange every 2s": subset} {
		gap, wait := averageGap(sc, seeds)
		t.Logf("%s: gap %.1f, exact %.1f, light wait p95 %.3fs", name, gap, exact, wait)
		qt.Check(t, gap <= maxGapRatio*exact, qt.IsTrue, qt.Commentf("%s: gap %.1f, exact %.1f", name, gap, exact))
	}
}

// The gap is bounded, so it does not grow with the duration of the run.
func TestGapDoesNotGrowWithDuration(t *testing.T) {
	const seeds, margin = 4, 1.5
	for name, sc := range map[string]scenario{
		"all":    {sidecars: 12, slots: 8, heavy: heavyMeans, light: 10, exchange: 5 * time.Second},
		"subset": {sidecars: 12, slots: 8, heavy: heavyMeans, light: 10, exchange: 2 * time.Second, subset: 5},
	} {
		sc.duration = 60 * time.Second
		short, _ := averageGap(sc, seeds)
		sc.duration = 240 * time.Second
		long, _ := averageGap(sc, seeds)
		t.Logf("%s: gap %.1f in 60 s, %.1f in 240 s", name, short, long)
		qt.Check(t, long <= margin*short, qt.IsTrue, qt.Commentf("%s: gap %.1f, in the short run %.1f", name, long, short))
	}
}

// testSidecar is a sidecar whose attempts the test controls.
type testSidecar struct {
	*State
	now   time.Time
	pulls []Pull
	next  uint64
}

func newTestSidecar(slots int) *testSidecar {
	cfg := DefaultConfig()
	cfg.Slots, cfg.LookAhead = slots, 0
	cfg.Ledger.Writer, cfg.Ledger.Incarnation = "self", "1"
	return &testSidecar{State: New(cfg), now: time.Unix(1000, 0)}
}

func (o *testSidecar) step(ev Event) {
	for _, a := range o.Step(o.now, ev) {
		if p, ok := a.(Pull); ok {
			o.pulls = append(o.pulls, p)
		}
	}
}

func (o *testSidecar) advanceBy(d time.Duration) {
	o.now = o.now.Add(d)
	o.step(Ticked{})
}

func (o *testSidecar) queue(team string, count int) {
	o.step(Interest{Router: "r", Team: team, Count: count})
}

// serve runs the oldest open pull to its end and returns its team.
func (o *testSidecar) serve(cost float64) string {
	p := o.pulls[0]
	o.pulls = o.pulls[1:]
	o.next++
	o.step(Offered{Attempt: o.next, Pull: p.ID, Router: p.Router, Team: p.Team})
	o.step(Ended{Attempt: o.next, Cost: cost, Completed: true})
	return p.Team
}

// ahead returns how far team a is ahead of team b.
func (o *testSidecar) ahead(a, b string) float64 {
	return o.virtualService(o.account(a)) - o.virtualService(o.account(b))
}

func TestNewTeamGetsEqualService(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	o.queue("old", 100)
	for range 50 {
		o.serve(10)
	}
	o.queue("new", 100)
	served := map[string]int{}
	for range 20 {
		served[o.serve(10)]++
	}
	c.Assert(served["new"] >= 9 && served["new"] <= 11, qt.IsTrue, qt.Commentf("%v", served))
}

// A team that had one long request is in debt. A short gap in its own backlog or in that
// of the creditor does not wipe out the debt.
func TestDebtSurvivesShortGaps(t *testing.T) {
	for _, flapping := range []string{"debtor", "creditor"} {
		t.Run(flapping, func(t *testing.T) {
			c := qt.New(t)
			o := newTestSidecar(1)
			o.queue("creditor", 100)
			o.queue("debtor", 100)
			for o.serve(1) != "creditor" {
			}
			for o.pulls[0].Team != "debtor" {
				o.serve(1)
			}
			o.serve(200)
			debt := o.ahead("debtor", "creditor")
			c.Assert(debt > 150, qt.IsTrue)
			for range 5 {
				o.queue(flapping, 0)
				o.advanceBy(10 * time.Millisecond)
				o.queue(flapping, 100)
			}
			c.Assert(o.ahead("debtor", "creditor") > 0.9*debt, qt.IsTrue)
		})
	}
}

// A team whose backlog comes and goes gets no more than one that is always backlogged.
func TestFlappingDoesNotWin(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	o.queue("steady", 100)
	o.queue("flapping", 100)
	served := map[string]float64{}
	for range 400 {
		o.queue("flapping", 0)
		o.advanceBy(time.Millisecond)
		o.queue("flapping", 100)
		o.advanceBy(4 * time.Millisecond)
		served[o.serve(5)] += 5
	}
	c.Assert(served["flapping"] <= served["steady"]+20, qt.IsTrue, qt.Commentf("%v", served))
}

// All teams can use idle capacity: what a team took of it is forgotten over time.
func TestUncontendedServiceIsForgiven(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(2)
	for range 1000 {
		o.next++
		o.step(Offered{Attempt: o.next, Team: "busy"})
		o.advanceBy(10 * time.Millisecond)
		o.step(Ended{Attempt: o.next, Cost: 10, Completed: true})
	}
	o.advanceBy(20 * time.Second)
	o.queue("quiet", 100)
	o.queue("busy", 100)
	served := map[string]int{}
	for range 20 {
		served[o.serve(10)]++
	}
	c.Assert(served["busy"] >= 8, qt.IsTrue, qt.Commentf("%v", served))
}

func TestEmptyAndLostPullsAreReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	o.queue("a", 1)
	o.step(Interest{Router: "other", Team: "a", Count: 5})
	first := o.pulls[0]
	o.step(PullEmpty{Pull: first.ID})
	c.Assert(o.pulls, qt.HasLen, 2)
	second := o.pulls[1]
	c.Assert(second.Router, qt.Not(qt.Equals), first.Router)
	o.queue("b", 3)
	o.advanceBy(time.Second)
	c.Assert(o.pulls, qt.HasLen, 3, qt.Commentf("the lost pull must be replaced at once"))
}

// A router that does not answer gets no more pulls until it sends a message, though it has
// queued work of the least served team.
func TestUnresponsiveRouterGetsNoPulls(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	o.step(Interest{Router: "frozen", Team: "least", Count: 9})
	o.step(Interest{Router: "live", Team: "other", Count: 9})
	c.Assert(o.pulls[0].Router, qt.Equals, "frozen")
	o.pulls = nil
	o.advanceBy(time.Second)
	for range 5 {
		c.Assert(o.pulls[0].Router, qt.Equals, "live")
		o.serve(10)
	}
	o.step(Interest{Router: "frozen", Team: "least", Count: 9})
	o.serve(10)
	c.Assert(o.pulls[0].Router, qt.Equals, "frozen")
}

// The number of concurrent pulls is limited by the reported queue lengths, and spread over
// the teams.
func TestConcurrentPulls(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(7)
	o.step(Drained{On: true})
	o.queue("a", 1)
	o.queue("b", 100)
	o.queue("c", 100)
	o.step(Drained{})
	got := map[string]int{}
	for _, p := range o.pulls {
		got[p.Team]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"a": 1, "b": 3, "c": 3})
}

func TestPolicies(t *testing.T) {
	c := qt.New(t)
	cfg := DefaultConfig()
	cfg.Policy, cfg.Slots = PolicyPush, 1
	s := New(cfg)
	now := time.Unix(1000, 0)
	c.Assert(s.Step(now, Interest{Router: "r", Team: "a", Count: 9}), qt.HasLen, 0)
	s.Step(now, Offered{Attempt: 1, Team: "a"})
	s.Step(now, Offered{Attempt: 2, Team: "a"})
	s.Step(now, Offered{Attempt: 3, Team: "b"})
	c.Assert(s.Capacity().Waiting, qt.Equals, 2)
	c.Assert(s.Step(now, Ticked{}), qt.Contains, Action(Report{Slots: 1, Waiting: 2}))
	c.Assert(s.Step(now, Ended{Attempt: 1}), qt.DeepEquals, []Action{Start{Attempt: 2}})
	cfg.Policy = "other"
	c.Assert(cfg.Validate(), qt.ErrorMatches, ".*Policy must be.*")
	c.Assert(DefaultConfig().Validate(), qt.IsNil)
}
