package share

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/state/ledger"
)

// exchanging is a pool whose sidecars exchange counters.
func exchanging(subset int) scenario {
	sc := pool12(1, 120*time.Second)
	sc.subset, sc.exchange = subset, 2*time.Second
	return sc
}

// meanWorstGap runs the scenario over several seeds, with a change applied to the fleet,
// and returns the mean of the worst gaps.
func meanWorstGap(sc scenario, change func(*fleet, scenario)) float64 {
	const seeds = 3
	sum := 0.0
	for seed := range uint64(seeds) {
		sc.seed = seed + 1
		f := newFleet(sc)
		change(f, sc)
		f.run(sc.duration)
		sum += f.worst
	}
	return sum / seeds
}

// Faults may widen the gap, but by a bounded factor.
func TestGapUnderFaults(t *testing.T) {
	const maxRatio = 2.0
	sc := exchanging(5)
	withoutFaults := meanWorstGap(sc, func(*fleet, scenario) {})
	faults := map[string]func(*fleet, scenario){
		"4 in 10 exchanges lost": func(f *fleet, _ scenario) {
			f.partitioned = func(int, int, time.Time) bool { return f.rng.IntN(10) < 4 }
		},
		"a third of the sidecars restart": func(f *fleet, sc scenario) {
			for i := range 4 {
				f.After(time.Duration(40+10*i)*time.Second, func() { f.restart(i, sc) })
			}
		},
		"no exchange for 10 s": func(f *fleet, _ scenario) {
			from, to := f.Now.Add(50*time.Second), f.Now.Add(60*time.Second)
			f.partitioned = func(_, _ int, now time.Time) bool { return now.After(from) && now.Before(to) }
		},
	}
	for name, fault := range faults {
		gap := meanWorstGap(sc, fault)
		t.Logf("%s: gap %.1f, without faults %.1f", name, gap, withoutFaults)
		qt.Check(t, gap <= maxRatio*withoutFaults, qt.IsTrue, qt.Commentf("%s: gap %.1f, without faults %.1f", name, gap, withoutFaults))
	}
}

// A team that joins late gets as much as the others from then on.
func TestLateTeamGetsEqualServiceOverThePool(t *testing.T) {
	for _, subset := range []int{0, 5} {
		sc := exchanging(subset)
		f := newFleet(sc)
		f.run(60 * time.Second)
		before := map[string]float64{}
		for _, s := range f.teams {
			before[s.name] = s.served
		}
		f.addTeam("late", 1, 0, f.pick(sc, true), 9)
		late := f.byName["late"]
		late.joinedLate = true
		f.run(60 * time.Second)
		sum := 0.0
		for _, s := range f.teams[:len(heavyMeans)] {
			sum += (s.served - before[s.name]) / float64(len(heavyMeans))
		}
		t.Logf("subset %d: late team %.0f, others %.0f each", subset, late.served, sum)
		qt.Check(t, late.served < 1.2*sum && late.served > 0.8*sum, qt.IsTrue)
	}
}

// After a partition, the service on the other side is repaid, but only so fast that the
// team keeps half of its fair rate.
func TestRepaymentAfterPartitionIsCapped(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	receive := func(a, b float64) {
		o.step(CountersReceived{Counters: []ledger.Counter{
			{Writer: "peer", Incarnation: "1", Team: "a", Served: a},
			{Writer: "peer", Incarnation: "1", Team: "b", Served: b},
		}})
	}
	serve := func(last time.Duration) map[string]float64 {
		got := map[string]float64{}
		for end := o.now.Add(last); o.now.Before(end); {
			o.advanceBy(100 * time.Millisecond)
			got[o.serve(1)]++
		}
		return got
	}
	o.queue("a", 1e6)
	o.queue("b", 1e6)
	receive(0, 0)
	serve(60 * time.Second)
	receive(1000, 0)
	c.Assert(o.ahead("a", "b") < 5, qt.IsTrue, qt.Commentf("the late update must be deferred"))
	got := serve(20 * time.Second)
	c.Assert(got["a"] >= 200*0.5*0.4, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got["a"] <= 200*0.5*0.8, qt.IsTrue, qt.Commentf("repaid too slowly: %v", got))
}

// A restarted sidecar restores the debts from a peer.
func TestRestartRestoresDebts(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	o.queue("a", 100)
	o.queue("b", 100)
	for o.pulls[0].Team != "a" {
		o.serve(1)
	}
	o.serve(300)
	counters, ahead := o.Snapshot()
	fresh := newTestSidecar(1)
	fresh.cfg.Ledger.Writer = "fresh"
	fresh.queue("a", 100)
	fresh.queue("b", 100)
	fresh.step(CountersReceived{Counters: counters, Ahead: ahead})
	debt := o.ahead("a", "b")
	c.Assert(debt > 200, qt.IsTrue)
	c.Assert(fresh.ahead("a", "b") > 0.95*debt, qt.IsTrue, qt.Commentf("%v of %v", fresh.ahead("a", "b"), debt))
}

// An offset is local: the exchanged counters contain only what was served.
func TestOffsetIsNotExchanged(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	o.queue("old", 100)
	for range 50 {
		o.serve(10)
	}
	o.queue("new", 100)
	served := map[string]float64{}
	for _, k := range o.Counters(10) {
		served[k.Team] = k.Served
	}
	c.Assert(served, qt.DeepEquals, map[string]float64{"old": 500, "new": 0})
}

// A limit on the counters per message delays some and drops none.
func TestLimitedCountersRotate(t *testing.T) {
	c := qt.New(t)
	o := newTestSidecar(1)
	for _, team := range []string{"a", "b", "c", "d", "e"} {
		o.queue(team, 1)
	}
	seen := map[string]int{}
	for range 5 {
		for _, k := range o.Counters(2) {
			seen[k.Team]++
		}
	}
	c.Assert(seen, qt.DeepEquals, map[string]int{"a": 2, "b": 2, "c": 2, "d": 2, "e": 2})
}
