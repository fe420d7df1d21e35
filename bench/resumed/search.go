package resumed

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Search plays seeds at several sizes of the fleet.
type Search struct {
	Routers []int
	// From is the first seed, Seeds their number at each size, Together how many play at once.
	From     uint64
	Seeds    int
	Together int
	// Worst is the number of plays in the report.
	Worst int
	// Troubles, Mends and Again are those of each play.
	Troubles []Trouble
	Mends    Mends
	Again    bool
}

// Found is the result of a search.
type Found struct {
	search  Search
	results []Result
}

// Run plays the seeds.
func (s Search) Run() Found {
	var plays errgroup.Group
	plays.SetLimit(max(s.Together, 1))
	found := Found{search: s, results: make([]Result, len(s.Routers)*s.Seeds)}
	for i, routers := range s.Routers {
		for n := range s.Seeds {
			plays.Go(func() error {
				found.results[i*s.Seeds+n] = Play(Settings{Seed: s.From + uint64(n), Routers: routers, Troubles: s.Troubles, Mends: s.Mends, Again: s.Again})
				return nil
			})
		}
	}
	// No play returns an error.
	_ = plays.Wait()
	return found
}

// LeastQuotient is the bound of the quotient.
const LeastQuotient = .5

// Report returns the sums by size and trouble, and the worst plays.
func (f Found) Report() string {
	var out strings.Builder
	for _, routers := range f.search.Routers {
		fmt.Fprintf(&out, "%d routers: %s\n", routers, f.sum(func(r Result) bool { return r.Set.Routers == routers }))
	}
	kinds := map[Trouble]bool{}
	for _, r := range f.results {
		for _, one := range r.Set.Troubles {
			kinds[one] = true
		}
	}
	for _, one := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(&out, "%s: %s\n", one, f.sum(func(r Result) bool { return slices.Contains(r.Set.Troubles, one) }))
	}
	for _, r := range f.worst() {
		fmt.Fprintf(&out, "seed %d, %d routers, %q: %s | worst at %v: new %d of %d, resumed %d of %d, %.2f\n", r.Set.Seed, r.Set.Routers, r.Set.Troubles, r,
			r.WorstAt, r.Worst.Began, r.Worst.Came, r.Worst.WentOn, r.Worst.Resumed, r.Worst.Quotient())
	}
	return out.String()
}

// worst returns the plays of the least quotients.
func (f Found) worst() []Result {
	all := slices.Clone(f.results)
	slices.SortStableFunc(all, func(a, b Result) int { return cmp.Compare(a.Quotient(), b.Quotient()) })
	return all[:min(f.search.Worst, len(all))]
}

// sum sums the plays that belong to it, and counts those below the bound.
func (f Found) sum(belongs func(Result) bool) string {
	var sum Result
	plays, below, windows := 0, 0, 0
	for _, r := range f.results {
		if !belongs(r) {
			continue
		}
		sum.Add(r)
		plays++
		if r.Quotient() < LeastQuotient {
			below++
		}
		if r.Worst.Quotient() < LeastQuotient {
			windows++
		}
	}
	return fmt.Sprintf("%d plays, below %.1f: %d, in a window: %d; %s", plays, LeastQuotient, below, windows, sum)
}
