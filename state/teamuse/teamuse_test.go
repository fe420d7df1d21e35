package teamuse

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each count is returned by one Take only; the team with the most requested tokens comes
// first.
func TestTakeReturnsCountsOnce(t *testing.T) {
	table := NewTable(10)
	table.Asked("small", 100)
	table.Asked("large", 1000)
	table.Asked("large", 500)
	table.Begun("large", 500, true)
	table.Delivered("large", 500)
	table.Refused("large", "queue-full")
	table.Unread("small")
	qt.Check(t, table.Take(), qt.DeepEquals, []Row{
		{"large", Use{Requests: 2, Asked: 1500, Largest: 1000, Begun: 500, Late: 1, Delivered: 500, Refused: map[string]int{"queue-full": 1}}},
		{"small", Use{Requests: 1, Asked: 100, Largest: 100, Unread: 1}},
	})
	qt.Check(t, table.Take(), qt.HasLen, 0)
}

// Open streams stay counted after the interval in which they started.
func TestOpenStreamsOutlastTheInterval(t *testing.T) {
	table := NewTable(10)
	table.Stream("a", 1)
	table.Take()
	table.Asked("a", 10)
	qt.Check(t, table.Take()[0].Streams, qt.Equals, 1)
	table.Stream("a", -1)
	table.Take()
	qt.Check(t, table.teams, qt.HasLen, 0)
}

// The table is bounded, and teams beyond the limit are still included in the sums.
func TestTeamsAreBounded(t *testing.T) {
	table := NewTable(3)
	for i := range 10 {
		table.Asked(fmt.Sprint(i), 1)
	}
	var sum float64
	for _, row := range table.Take() {
		sum += row.Asked
	}
	qt.Check(t, sum, qt.Equals, 10.0)
}

// An address that keeps calling is not evicted, however many other addresses call.
func TestActiveAddressIsNotEvicted(t *testing.T) {
	c := NewCallers[int](20)
	c.Seen(0, "a")
	for i := range 1000 {
		c.Seen(i+1, "b")
		qt.Assert(t, c.Team(0), qt.Equals, "a")
	}
	qt.Check(t, len(c.current)+len(c.previous) <= 20, qt.IsTrue)
	qt.Check(t, c.Team(1), qt.Equals, Unknown)
}
