package promise

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A burst refuses callers faster than room comes: each gets a later time than the one
// before, until there is no room in the time that they wait.
func TestCallersOfABurstGetLaterTimes(t *testing.T) {
	l, now := New[string](DefaultConfig()), time.Unix(1000, 0)
	refused := Refused[string]{Team: "a", Work: 20 * time.Millisecond, Earliest: 50 * time.Millisecond, Latest: time.Second}
	last, booked := time.Duration(0), 0
	for range 21 {
		got := l.Book(now, refused, Room{Servers: 1})
		qt.Assert(t, got.After >= last && got.After <= time.Second, qt.IsTrue)
		if last = got.After; got.Booked {
			booked++
		}
	}
	qt.Check(t, booked, qt.Equals, 20)
	// Of 15 ms a slot, each takes 20: one for each slot from 50 ms to 1 s.
	// A stopped router's promises are gone with its ledger, and others' end with their slots.
	qt.Check(t, l.Due(now, time.Second) > 0, qt.IsTrue)
	qt.Check(t, l.Due(now.Add(2*time.Second), time.Second), qt.Equals, time.Duration(0))
}
