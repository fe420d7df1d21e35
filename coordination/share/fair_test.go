package share

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mostOfExact is how much larger than an exact global chooser's the worst gap
// may be.
const mostOfExact = 1.25

// The pool is compared with one chooser over all its slots on the same
// arrivals, with the same parameters.
func TestGapAgainstExactChoice(t *testing.T) {
	const seeds = 4
	all := run12(0, 120*time.Second)
	told := all
	told.exchange = 5 * time.Second
	subset := told
	subset.subset, subset.exchange = 5, 2*time.Second
	exact, _ := averageGap(all.exact(), seeds)
	for name, sc := range map[string]scenario{"all, each alone": all, "all, told every 5s": told, "subset of 5, told every 2s": subset} {
		gap, wait := averageGap(sc, seeds)
		t.Logf("%s: gap %.1f, exact %.1f, light wait p95 %.3fs", name, gap, exact, wait)
		qt.Check(t, gap <= mostOfExact*exact, qt.IsTrue, qt.Commentf("%s: %.1f against %.1f", name, gap, exact))
	}
}

// The gap is bounded, so it does not grow with the window.
func TestGapDoesNotGrow(t *testing.T) {
	const seeds, margin = 4, 1.5
	for name, sc := range map[string]scenario{
		"all":    {cores: 12, slots: 8, heavy: heavyMeans, light: 10, exchange: 5 * time.Second},
		"subset": {cores: 12, slots: 8, heavy: heavyMeans, light: 10, exchange: 2 * time.Second, subset: 5},
	} {
		sc.last = 60 * time.Second
		short, _ := averageGap(sc, seeds)
		sc.last = 240 * time.Second
		long, _ := averageGap(sc, seeds)
		t.Logf("%s: gap %.1f in 60 s, %.1f in 240 s", name, short, long)
		qt.Check(t, long <= margin*short, qt.IsTrue, qt.Commentf("%s: %.1f against %.1f", name, long, short))
	}
}

// one is a sidecar whose attempts are driven by hand.
type one struct {
	*State
	now   time.Time
	pulls []Pull
	next  uint64
}

func newOne(slots int) *one {
	cfg := DefaultConfig()
	cfg.Slots, cfg.LookAhead = slots, 0
	cfg.Ledger.Writer, cfg.Ledger.Incarnation = "self", "1"
	return &one{State: New(cfg), now: time.Unix(1000, 0)}
}

func (o *one) step(ev Event) {
	for _, a := range o.Step(o.now, ev) {
		if p, ok := a.(Pull); ok {
			o.pulls = append(o.pulls, p)
		}
	}
}

func (o *one) wait(d time.Duration) {
	o.now = o.now.Add(d)
	o.step(Ticked{})
}

func (o *one) want(team string, count int) { o.step(Interest{Router: "r", Team: team, Count: count}) }

// serve runs the oldest open pull to its end and returns its team.
func (o *one) serve(cost float64) string {
	p := o.pulls[0]
	o.pulls = o.pulls[1:]
	o.next++
	o.step(Offered{Attempt: o.next, Pull: p.ID, Router: p.Router, Team: p.Team})
	o.step(Ended{Attempt: o.next, Cost: cost, Whole: true})
	return p.Team
}

// ahead returns how far team a is ahead of team b.
func (o *one) ahead(a, b string) float64 { return o.virtual(o.account(a)) - o.virtual(o.account(b)) }

func TestNewcomerStartsLevel(t *testing.T) {
	c := qt.New(t)
	o := newOne(1)
	o.want("old", 100)
	for range 50 {
		o.serve(10)
	}
	o.want("new", 100)
	served := map[string]int{}
	for range 20 {
		served[o.serve(10)]++
	}
	c.Assert(served["new"] >= 9 && served["new"] <= 11, qt.IsTrue, qt.Commentf("%v", served))
}

// A team that took one long request is in debt. Neither its own short gap nor
// one of its creditor's wipes the debt out.
func TestDebtStaysOverShortGaps(t *testing.T) {
	for _, flapping := range []string{"debtor", "creditor"} {
		t.Run(flapping, func(t *testing.T) {
			c := qt.New(t)
			o := newOne(1)
			o.want("creditor", 100)
			o.want("debtor", 100)
			for o.serve(1) != "creditor" {
			}
			for o.pulls[0].Team != "debtor" {
				o.serve(1)
			}
			o.serve(200)
			debt := o.ahead("debtor", "creditor")
			c.Assert(debt > 150, qt.IsTrue)
			for range 5 {
				o.want(flapping, 0)
				o.wait(10 * time.Millisecond)
				o.want(flapping, 100)
			}
			c.Assert(o.ahead("debtor", "creditor") > 0.9*debt, qt.IsTrue)
		})
	}
}

// A team that comes and goes gets no more than one that stays.
func TestFlappingDoesNotWin(t *testing.T) {
	c := qt.New(t)
	o := newOne(1)
	o.want("steady", 100)
	o.want("flapping", 100)
	served := map[string]float64{}
	for range 400 {
		o.want("flapping", 0)
		o.wait(time.Millisecond)
		o.want("flapping", 100)
		o.wait(4 * time.Millisecond)
		served[o.serve(5)] += 5
	}
	c.Assert(served["flapping"] <= served["steady"]+20, qt.IsTrue, qt.Commentf("%v", served))
}

// Idle capacity is open to all: what a team took of it is forgotten in time.
func TestUncontendedServiceIsForgiven(t *testing.T) {
	c := qt.New(t)
	o := newOne(2)
	for range 1000 {
		o.next++
		o.step(Offered{Attempt: o.next, Team: "busy"})
		o.wait(10 * time.Millisecond)
		o.step(Ended{Attempt: o.next, Cost: 10, Whole: true})
	}
	o.wait(20 * time.Second)
	o.want("quiet", 100)
	o.want("busy", 100)
	served := map[string]int{}
	for range 20 {
		served[o.serve(10)]++
	}
	c.Assert(served["busy"] >= 8, qt.IsTrue, qt.Commentf("%v", served))
}

func TestEmptyAndLostPullsAreReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	o := newOne(1)
	o.want("a", 1)
	o.step(Interest{Router: "other", Team: "a", Count: 5})
	first := o.pulls[0]
	o.step(PullEmpty{Pull: first.ID})
	c.Assert(o.pulls, qt.HasLen, 2)
	second := o.pulls[1]
	c.Assert(second.Router, qt.Not(qt.Equals), first.Router)
	o.want("b", 3)
	o.wait(time.Second)
	c.Assert(o.pulls, qt.HasLen, 3, qt.Commentf("the lost pull is replaced at once"))
}

// A router that does not answer gets no more pulls until it is heard again,
// though it holds the work of the team that is served least.
func TestSilentRouterIsPassedOver(t *testing.T) {
	c := qt.New(t)
	o := newOne(1)
	o.step(Interest{Router: "frozen", Team: "least", Count: 9})
	o.step(Interest{Router: "live", Team: "other", Count: 9})
	c.Assert(o.pulls[0].Router, qt.Equals, "frozen")
	o.pulls = nil
	o.wait(time.Second)
	for range 5 {
		c.Assert(o.pulls[0].Router, qt.Equals, "live")
		o.serve(10)
	}
	o.step(Interest{Router: "frozen", Team: "least", Count: 9})
	o.serve(10)
	c.Assert(o.pulls[0].Router, qt.Equals, "frozen")
}

// Pulls at once are bounded by what is known to wait, and spread over teams.
func TestPullsAtOnce(t *testing.T) {
	c := qt.New(t)
	o := newOne(7)
	o.step(Drained{On: true})
	o.want("a", 1)
	o.want("b", 100)
	o.want("c", 100)
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
	c.Assert(s.Room().Waiting, qt.Equals, 2)
	c.Assert(s.Step(now, Ticked{}), qt.Contains, Action(Report{Slots: 1, Waiting: 2}))
	c.Assert(s.Step(now, Ended{Attempt: 1}), qt.DeepEquals, []Action{Start{Attempt: 2}})
	cfg.Policy = "other"
	c.Assert(cfg.Validate(), qt.ErrorMatches, ".*Policy must be.*")
	c.Assert(DefaultConfig().Validate(), qt.IsNil)
}
