package watchduty

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// outage is a store that answers nothing for a time, and a fleet that calls it.
type outage struct {
	routers int
	length  time.Duration
	// watchersLost means that the watchers ended as the outage began and are still listed.
	watchersLost bool
}

// play returns the calls per second in the outage's later part, and the time from its end to the first
// call that succeeds.
func (o outage) play(r Retry) (rate float64, back time.Duration) {
	var ids []string
	for i := range o.routers {
		ids = append(ids, fmt.Sprint("dc-", i%3, "-", i))
	}
	duty := DefaultConfig()
	settled, calls := 2*time.Second, 0
	back = time.Hour
	for _, id := range ids {
		if o.watchersLost && duty.isChosen(id, ids) {
			continue
		}
		at := time.Duration(phase(id, 0) * float64(r.Pause))
		for failures := 1; at < o.length; failures++ {
			if at > settled {
				calls++
			}
			at += r.After(failures, duty, id, ids)
		}
		back = min(back, at-o.length)
	}
	return float64(calls) / (o.length - settled).Seconds(), back
}

// An outage of the store: the calls of a fleet that receives nothing stay bounded, and the store's return
// is found as soon as before while a watcher lives, within the longest pause else. Before, each router
// called at the short pause: 180 calls a second from 27 routers.
func TestCallsToAFailingStoreStayBounded(t *testing.T) {
	r := DefaultRetry()
	for _, n := range []int{3, 27, 300, 800} {
		rate, back := outage{routers: n, length: 12 * time.Second}.play(r)
		watchers := 2 / r.Pause.Seconds()
		others := max(r.FleetRate, float64(n)/r.MaxPause.Seconds()) / (1 - pauseSpread)
		qt.Check(t, rate <= watchers+others, qt.IsTrue, qt.Commentf("%d routers: %.0f calls a second", n, rate))
		qt.Check(t, back <= r.Pause, qt.IsTrue, qt.Commentf("%d routers: %v", n, back))
	}
}

// Both watchers are lost beside the outage.
func TestAFleetWithoutWatchersFindsTheStoreAgain(t *testing.T) {
	r := DefaultRetry()
	for _, n := range []int{3, 27, 800} {
		_, back := outage{routers: n, length: 12 * time.Second, watchersLost: true}.play(r)
		qt.Check(t, back <= r.MaxPause, qt.IsTrue, qt.Commentf("%d routers: %v", n, back))
	}
}

// A lost answer is no outage, and small fleets are served as before.
func TestFewFailuresAreRetriedSoon(t *testing.T) {
	r, duty := DefaultRetry(), DefaultConfig()
	routers := []string{"a", "b", "c"}
	for _, id := range routers {
		for failures := 1; failures < 10; failures++ {
			qt.Check(t, r.After(failures, duty, id, routers) <= r.Pause, qt.IsTrue)
		}
	}
	many := make([]string, 100)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	for _, id := range many {
		qt.Check(t, r.After(r.ShortFailures, duty, id, many), qt.Equals, r.Pause)
	}
}
