package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bound is the worst gap between two always backlogged teams of equal shares,
// by the formula of docs/FAIRNESS.md: when a team was last chosen at a sidecar
// its virtual service was the smallest there, and after that only what was
// under way or pulled could cost more.
func bound(sc scenario, mostCost float64, lookAhead int) float64 {
	cfg := DefaultConfig()
	underWay := float64(sc.slots + lookAhead)
	untold := float64(sc.slots) * simTick.Seconds()
	mostEstimate := max(mostCost, cfg.Estimate.Initial)
	perCore := underWay*(mostCost+cfg.PendingWeight*mostEstimate) + untold
	return float64(sc.cores) * perCore
}

// Adversarial costs: the gap stays under the bound, nobody starves, and no
// slot stays free beside registered work with no pull on its way to it.
func TestPropertyBoundAndWorkConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const last, mostCost, lookAhead = 20 * time.Second, 0.5, 1
		teams := rapid.IntRange(2, 4).Draw(t, "teams")
		sc := scenario{
			cores: rapid.IntRange(1, 3).Draw(t, "cores"),
			slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			seed:  rapid.Uint64().Draw(t, "seed"),
			light: rapid.IntRange(0, 3).Draw(t, "light"),
			heavy: make([]float64, teams),
		}
		sc.change = func(cfg *Config) { cfg.LookAhead = lookAhead }
		f := newFleet(sc)
		for _, s := range f.teams {
			s.fixed = adversary(t, s.name, mostCost)
		}
		f.after = func(i int) { checkBusy(t, f.cores[i]) }
		f.run(last)
		if limit := bound(sc, mostCost, lookAhead); f.worst > limit {
			t.Fatalf("gap %.2f above the bound %.2f", f.worst, limit)
		}
		checkServed(t, f, sc, last, bound(sc, mostCost, lookAhead))
	})
}

// adversary returns a repeating list of costs, from next to nothing to most.
func adversary(t *rapid.T, team string, most float64) func() float64 {
	costs := rapid.SliceOfN(rapid.SampledFrom([]float64{0.01, 0.02, 0.1, most / 2, most}), 1, 8).Draw(t, team)
	i := 0
	return func() float64 {
		i++
		return costs[i%len(costs)]
	}
}

func checkBusy(t *rapid.T, s *State) {
	if s.free() <= 0 {
		return
	}
	for team, a := range s.accounts {
		if s.pullable(a) {
			t.Fatalf("%d slots free while %s waits and no pull is on its way", s.free(), team)
		}
	}
}

// checkServed fails if an always backlogged team got much less than its part
// of the slots, were all teams always backlogged.
func checkServed(t *rapid.T, f *fleet, sc scenario, last time.Duration, slack float64) {
	const used = 0.8
	slots := float64(sc.cores*sc.slots) * last.Seconds()
	least := used*slots/float64(len(f.teams)) - slack
	for _, s := range f.teams {
		if s.period == 0 && s.served < least {
			t.Fatalf("%s got %.1f, at least %.1f expected", s.name, s.served, least)
		}
	}
}
