// Package fairshare accounts for what teams request and are served of a shared capacity,
// over all routers, and computes which teams exceed their max-min fair share.
//
// It protects small teams when a few teams request many times their usual load and fill
// the backend servers. In a max-min allocation the capacity is filled evenly: a team that
// requests less than the level gets all that it requests, and the others get the level.
//
// The package is pure: it has no I/O, clock or goroutines. Direct routers use it, through
// admission.
package fairshare

import "slices"

// Level returns the max-min fair share level: the greatest amount per team at which all
// teams together stay within the capacity. It is +Inf when all requests fit, and also when
// capacity is infinite, negative or zero.
func Level(requested []float64, capacity float64) float64 {
	if capacity <= 0 {
		return unlimited
	}
	sorted := slices.Clone(requested)
	slices.Sort(sorted)
	remaining := capacity
	for i, amount := range sorted {
		even := remaining / float64(len(sorted)-i)
		if amount > even {
			return even
		}
		remaining -= amount
	}
	return unlimited
}
