package share

import (
	"sync"
	"testing"
	"time"
)

// run12 is the pool of the figures: 12 sidecars of 8 slots.
func run12(seed uint64, last time.Duration) scenario {
	return scenario{cores: 12, slots: 8, seed: seed, last: last, heavy: heavyMeans, light: 10}
}

// exact is one chooser over all slots of the pool, on the same arrivals.
func (sc scenario) exact() scenario {
	sc.slots *= sc.cores
	sc.cores, sc.subset, sc.exchange = 1, 0, 0
	return sc
}

// averageGap returns the mean over seeds of the worst gap and of the light
// teams' 95th percentile wait.
func averageGap(sc scenario, seeds int) (gap, wait float64) {
	fleets := make([]*fleet, seeds)
	var done sync.WaitGroup
	for i := range fleets {
		sc.seed = uint64(i) + 1
		fleets[i] = newFleet(sc)
		done.Go(func() { fleets[i].run(sc.last) })
	}
	done.Wait()
	for _, f := range fleets {
		gap += f.worst / float64(seeds)
		wait += f.lightWait() / float64(seeds)
	}
	return gap, wait
}

// BenchmarkGap prints the figures of docs/FAIRNESS.md.
func BenchmarkGap(b *testing.B) {
	base := run12(0, 120*time.Second)
	cases := []struct {
		name string
		make func(scenario) scenario
	}{
		{"exact", scenario.exact},
		{"exact-settle", func(sc scenario) scenario { sc = sc.exact(); sc.policy = PolicyPullSettle; return sc }},
		{"all", func(sc scenario) scenario { return sc }},
		{"all-settle", func(sc scenario) scenario { sc.policy = PolicyPullSettle; return sc }},
		{"all-exchange-5s", func(sc scenario) scenario { sc.exchange = 5 * time.Second; return sc }},
		{"all-exchange-1s", func(sc scenario) scenario { sc.exchange = 1 * time.Second; return sc }},
		{"subset-alone", func(sc scenario) scenario { sc.subset = 5; return sc }},
		{"subset-exchange-5s", func(sc scenario) scenario { sc.subset = 5; sc.exchange = 5 * time.Second; return sc }},
		{"subset-exchange-2s", func(sc scenario) scenario { sc.subset = 5; sc.exchange = 2 * time.Second; return sc }},
	}
	const seeds = 4
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				gap, wait := averageGap(c.make(base), seeds)
				b.ReportMetric(gap, "gap")
				b.ReportMetric(wait*1000, "lightp95ms")
			}
		})
	}
}
