package dispatch

import (
	"math"
	"time"
)

// knownAfter is the number of departures after which the measured rate is
// trusted for refusals.
const knownAfter = 3

// drain measures the rate at which a queue is served: departures per second
// of the time in which something waited. Both are decayed over the window, so
// idle time does not look like slow service.
type drain struct {
	window float64
	served float64
	busy   float64
	total  int
	at     time.Time
}

func newDrain(window time.Duration) drain { return drain{window: window.Seconds()} }

// advance lets time pass up to now, during which the queue was busy or not.
func (d *drain) advance(now time.Time, busy bool) {
	if d.at.IsZero() {
		d.at = now
	}
	passed := now.Sub(d.at).Seconds()
	if passed <= 0 {
		return
	}
	d.at = now
	keep := math.Exp(-passed / d.window)
	d.served *= keep
	d.busy *= keep
	if busy {
		d.busy += d.window * (1 - keep)
	}
}

// departed counts a request that was served.
func (d *drain) departed() {
	d.served++
	d.total++
}

// known reports whether enough was served to trust the rate.
func (d *drain) known() bool { return d.total >= knownAfter }

// wait estimates the time until n requests are served. Before anything was
// served it is the time that passed in vain.
func (d *drain) wait(n int) time.Duration {
	if n <= 0 || d.busy <= 0 {
		return 0
	}
	seconds := float64(n) * d.busy / d.served
	if d.total == 0 {
		seconds = d.busy
	}
	if limit := (longestRetryAfter * 1000).Seconds(); !(seconds < limit) {
		seconds = limit
	}
	return time.Duration(seconds * float64(time.Second))
}
