package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/dispatch"
)

func TestPushFIFOSendsToLeastLoaded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Policy = dispatch.PolicyPushFIFO })
	f.sidecars(3, 4, 4)
	f.step(dispatch.LoadReported{Sidecar: sidecar(0), Slots: 4, Waiting: 6})
	f.load(1, 4, 1)
	got := map[string]int{}
	for i := range 20 {
		sent := only[dispatch.Send](f.arrive("a", fmt.Sprint(i)))
		c.Assert(sent, qt.HasLen, 1, qt.Commentf("a request was queued"))
		got[sent[0].Sidecar]++
	}
	// The sidecars have 10, 3 and 0 attempts; with 20 more each has 11.
	c.Assert(got, qt.DeepEquals, map[string]int{sidecar(0): 1, sidecar(1): 8, sidecar(2): 11})
}

func TestPushFIFOQueuesAfterDecline(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Policy = dispatch.PolicyPushFIFO })
	f.sidecars(1, 4, 4)
	f.arrive("a", "0")
	c.Assert(f.step(dispatch.Declined{ID: "0", Sidecar: sidecar(0)}), qt.HasLen, 0)
	c.Assert(f.Waiting(), qt.Equals, 1)
	c.Assert(only[dispatch.Send](f.after(100*time.Millisecond)), qt.HasLen, 1)
}

func TestPushFairServesByCostOverShare(t *testing.T) {
	c := qt.New(t)
	f := newFixture(func(cfg *dispatch.Config) { cfg.Policy = dispatch.PolicyPushFair })
	f.step(dispatch.SharesSet{Shares: map[string]float64{"a": 3, "b": 1}})
	f.step(dispatch.RouterCountChanged{Count: 2})
	f.sidecars(1, 4, 4)
	cost := map[string]float64{"a": 1, "b": 4}
	served := map[string]float64{}
	var running []string
	take := func(actions []dispatch.Action) {
		for _, s := range only[dispatch.Send](actions) {
			running = append(running, s.ID)
		}
		c.Assert(len(running) <= 2, qt.IsTrue, qt.Commentf("the router's portion of four slots is two"))
	}
	for i := range 400 {
		take(f.arrive("a", fmt.Sprint("a-", i)))
		take(f.arrive("b", fmt.Sprint("b-", i)))
	}
	for range 400 {
		id := running[0]
		running = running[1:]
		team := id[:1]
		served[team] += cost[team]
		take(f.step(dispatch.Ended{ID: id, Cost: cost[team]}))
	}
	ratio := served["a"] / served["b"]
	c.Assert(ratio > 2.7 && ratio < 3.3, qt.IsTrue, qt.Commentf("%v", served))
}
