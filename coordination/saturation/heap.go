package saturation

import "time"

// Heap growth targets of the collector, in percent of what lives. Memory is
// paid for at its peak, and a calm router has processor time to spare. A late one
// needs the time more.
const (
	CalmGrowth = 60
	LateGrowth = 200
)

// Lateness from which the router collects less, and below which it collects
// more again.
const (
	lateHeap = 10 * time.Millisecond
	calmHeap = 3 * time.Millisecond
)

// HeapGrowth returns the target for the mean lateness; now is the one in force.
func HeapGrowth(now int, late time.Duration) int {
	switch {
	case late > lateHeap:
		return LateGrowth
	case late < calmHeap:
		return CalmGrowth
	default:
		return now
	}
}
