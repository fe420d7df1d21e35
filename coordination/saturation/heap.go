package saturation

import "time"

// Heap growth targets of the garbage collector, in percent of the live heap. Memory is paid
// for at its peak, and a router that reads its input on time has processor time to spare; a
// late router needs that time more than the memory.
const (
	CalmGrowth = 60
	LateGrowth = 200
)

// Mean lateness above which the router collects garbage less often, and below which it
// returns to frequent collections.
const (
	highLateness = 10 * time.Millisecond
	lowLateness  = 3 * time.Millisecond
)

// HeapGrowth returns the growth target for the mean lateness; current is the target in
// force.
func HeapGrowth(current int, late time.Duration) int {
	switch {
	case late > highLateness:
		return LateGrowth
	case late < lowLateness:
		return CalmGrowth
	default:
		return current
	}
}
