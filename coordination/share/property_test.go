package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxGap returns the largest possible gap between two always backlogged teams of equal
// shares, by the formula of docs/FAIRNESS.md. When a team was last chosen at a sidecar,
// its virtual service was the smallest there; after that only the work in flight or pulled
// could add cost.
func maxGap(sc scenario, maxCost float64, lookAhead int) float64 {
	cfg := DefaultConfig()
	inFlight := float64(sc.slots + lookAhead)
	uncharged := float64(sc.slots) * simTick.Seconds()
	maxEstimate := max(maxCost, cfg.Estimate.Initial)
	perSidecar := inFlight*(maxCost+cfg.PendingWeight*maxEstimate) + uncharged
	return float64(sc.sidecars) * perSidecar
}

// With adversarial costs the gap stays under the bound, no team starves, and no slot stays
// free while queued work is known and no pull is open for it.
func TestPropertyBoundAndWorkConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const duration, maxCost, lookAhead = 20 * time.Second, 0.5, 1
		teams := rapid.IntRange(2, 4).Draw(t, "teams")
		sc := scenario{
			sidecars: rapid.IntRange(1, 3).Draw(t, "sidecars"),
			slots:    rapid.IntRange(1, 3).Draw(t, "slots"),
			seed:     rapid.Uint64().Draw(t, "seed"),
			light:    rapid.IntRange(0, 3).Draw(t, "light"),
			heavy:    make([]float64, teams),
		}
		sc.change = func(cfg *Config) { cfg.LookAhead = lookAhead }
		f := newFleet(sc)
		for _, s := range f.teams {
			s.fixed = adversary(t, s.name, maxCost)
		}
		f.after = func(i int) { checkNoIdleSlots(t, f.sidecars[i]) }
		f.run(duration)
		if limit := maxGap(sc, maxCost, lookAhead); f.worst > limit {
			t.Fatalf("gap %.2f, want at most %.2f", f.worst, limit)
		}
		checkServed(t, f, sc, duration, maxGap(sc, maxCost, lookAhead))
	})
}

// adversary returns a repeating sequence of costs, from nearly zero to highest.
func adversary(t *rapid.T, team string, highest float64) func() float64 {
	costs := rapid.SliceOfN(rapid.SampledFrom([]float64{0.01, 0.02, 0.1, highest / 2, highest}), 1, 8).Draw(t, team)
	i := 0
	return func() float64 {
		i++
		return costs[i%len(costs)]
	}
}

func checkNoIdleSlots(t *rapid.T, s *State) {
	if s.free() <= 0 {
		return
	}
	for team, a := range s.accounts {
		if s.canPull(a) {
			t.Fatalf("%d slots free while %s has queued work and no pull is open", s.free(), team)
		}
	}
}

// checkServed fails if an always backlogged team got much less than its share of the slots
// if all teams were always backlogged.
func checkServed(t *rapid.T, f *fleet, sc scenario, duration time.Duration, slack float64) {
	const minUse = 0.8
	slots := float64(sc.sidecars*sc.slots) * duration.Seconds()
	least := minUse*slots/float64(len(f.teams)) - slack
	for _, s := range f.teams {
		if s.period == 0 && s.served < least {
			t.Fatalf("%s got %.1f, want at least %.1f", s.name, s.served, least)
		}
	}
}
