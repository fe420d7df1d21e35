package lateness

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What is not read in time is late by as much, and the watch ends with its context.
func TestWhatLiesUnreadIsLate(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	const held = 200 * time.Millisecond
	var latest time.Duration
	n := 0
	err := Watch(ctx, func(_ time.Time, late time.Duration) {
		qt.Check(t, late >= 0, qt.IsTrue)
		latest = max(latest, late)
		if n++; n == 2 {
			time.Sleep(held)
		}
		if n == 10 {
			cancel()
		}
	})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, latest > held-3*Every, qt.IsTrue, qt.Commentf("%v", latest))
}
