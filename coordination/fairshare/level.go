// Package fairshare keeps what teams ask for and get of a capacity that they
// share, over all routers, and tells who is beyond its max-min share.
//
// The pattern that it answers: a few teams ask for many times their usual and
// fill the engines, so that small teams wait behind them. Max-min: the
// capacity is filled up evenly, a team that asks for less than the level gets
// all it asks for, and the others get the level.
//
// The package is pure.
//
// Direct routers use it, through admission.
package fairshare

import "slices"

// Level returns the greatest amount per team at which all teams together stay
// within the capacity. It is +Inf when all that is asked fits; that is the
// case with unlimited, negative or no capacity given, too.
func Level(asked []float64, capacity float64) float64 {
	if capacity <= 0 {
		return unlimited
	}
	sorted := slices.Clone(asked)
	slices.Sort(sorted)
	left := capacity
	for i, a := range sorted {
		even := left / float64(len(sorted)-i)
		if a > even {
			return even
		}
		left -= a
	}
	return unlimited
}
