package share

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// pool12 is the pool of the published figures: 12 sidecars with 8 slots each.
func pool12(seed uint64, last time.Duration) scenario {
	return scenario{sidecars: 12, slots: 8, seed: seed, duration: last, heavy: heavyMeans, light: 10}
}

// exact returns one scheduler over all slots of the pool, with the same arrivals.
func (sc scenario) exact() scenario {
	sc.slots *= sc.sidecars
	sc.sidecars, sc.subset, sc.exchange = 1, 0, 0
	return sc
}

// averageGap returns the mean over seeds of the worst gap and of the 95th percentile of
// the light teams' waits.
func averageGap(sc scenario, seeds int) (gap, wait float64) {
	fleets := make([]*fleet, seeds)
	var wg sync.WaitGroup
	for i := range fleets {
		sc.seed = uint64(i) + 1
		fleets[i] = newFleet(sc)
		wg.Go(func() { fleets[i].run(sc.duration) })
	}
	wg.Wait()
	for _, f := range fleets {
		gap += f.worst / float64(seeds)
		wait += f.lightWait() / float64(seeds)
	}
	return gap, wait
}

// weighted sets the PendingWeight.
func (sc scenario) weighted(weight float64) scenario {
	sc.change = func(cfg *Config) { cfg.PendingWeight = weight }
	return sc
}

func (sc scenario) settling() scenario {
	sc.policy = PolicyPullSettle
	return sc
}

func (sc scenario) exchanging(every time.Duration, subset int) scenario {
	sc.exchange, sc.subset = every, subset
	return sc
}

// BenchmarkGap prints the figures of docs/FAIRNESS.md.
func BenchmarkGap(b *testing.B) {
	base := pool12(0, 120*time.Second)
	large := base
	large.sidecars = 60
	cases := []struct {
		name string
		sc   scenario
	}{
		{"exact", base.exact()},
		{"exact-weight-0", base.exact().weighted(0)},
		{"exact-weight-0.1", base.exact().weighted(0.1)},
		{"exact-weight-1", base.exact().weighted(1)},
		{"exact-settle", base.exact().settling()},
		{"all-alone", base},
		{"all-alone-settle", base.settling()},
		{"all-told-1s", base.exchanging(time.Second, 0)},
		{"all-told-2s", base.exchanging(2*time.Second, 0)},
		{"all-told-5s", base.exchanging(5*time.Second, 0)},
		{"all-told-2s-weight-0", base.exchanging(2*time.Second, 0).weighted(0)},
		{"all-told-2s-weight-0.1", base.exchanging(2*time.Second, 0).weighted(0.1)},
		{"all-told-2s-weight-1", base.exchanging(2*time.Second, 0).weighted(1)},
		{"subset-alone", base.exchanging(0, 5)},
		{"subset-told-1s", base.exchanging(time.Second, 5)},
		{"subset-told-2s", base.exchanging(2*time.Second, 5)},
		{"subset-told-5s", base.exchanging(5*time.Second, 5)},
		{"60-exact", large.exact()},
		{"60-all-told-2s", large.exchanging(2*time.Second, 0)},
		{"60-subset-30-told-2s", large.exchanging(2*time.Second, 30)},
		{"60-subset-15-told-500ms", large.exchanging(500*time.Millisecond, 15)},
		{"60-subset-15-told-2s", large.exchanging(2*time.Second, 15)},
	}
	const seeds = 4
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				gap, wait := averageGap(c.sc, seeds)
				b.ReportMetric(gap, "gap")
				b.ReportMetric(wait*1000, "lightp95ms")
			}
		})
	}
}

// BenchmarkStep measures one event with 2,100 teams, a tenth of them backlogged, and every
// slot busy: a charge, and the end of a run with the choice and the pull that follow.
func BenchmarkStep(b *testing.B) {
	const teams = 2100
	o := newTestSidecar(16)
	const running = 1
	o.next = running
	o.step(Offered{Attempt: running, Team: "team-1"})
	for i := range teams {
		team := fmt.Sprint("team-", i)
		o.next++
		o.step(Offered{Attempt: o.next, Team: team})
		o.step(Ended{Attempt: o.next, Cost: 1, Completed: true})
		if i%10 == 0 {
			o.queue(team, 1e9)
		}
	}
	b.Run("charge", func(b *testing.B) {
		for i := range b.N {
			o.step(Progressed{Attempt: running, Cost: float64(i)})
		}
	})
	b.Run("choose", func(b *testing.B) {
		for range b.N {
			o.serve(1)
		}
	})
}
