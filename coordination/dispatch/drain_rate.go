package dispatch

import (
	"math"
	"time"
)

// minDepartures is the number of departures after which the measured rate is
// accurate enough to refuse requests by it.
const minDepartures = 3

// drainRate measures the rate at which a queue is served, in departures per
// second of the time during which the queue was not empty. Idle time is left
// out, so that it does not look like slow service.
type drainRate struct {
	// window is the decay time of departures and busy, in seconds.
	window float64
	// departures is the decayed number of departures.
	departures float64
	// busy is the decayed time during which the queue was not empty, in
	// seconds.
	busy float64
	// total is the number of departures without decay.
	total int
	// updated is the time up to which busy is counted.
	updated time.Time
}

func newDrainRate(window time.Duration) drainRate { return drainRate{window: window.Seconds()} }

// advance accounts for the time since the last call, during which the queue was
// not empty (busy) or empty.
func (d *drainRate) advance(now time.Time, busy bool) {
	if d.updated.IsZero() {
		d.updated = now
	}
	passed := now.Sub(d.updated).Seconds()
	if passed <= 0 {
		return
	}
	d.updated = now
	decay := math.Exp(-passed / d.window)
	d.departures *= decay
	d.busy *= decay
	if busy {
		d.busy += d.window * (1 - decay)
	}
}

// recordDeparture counts a request that was taken from the queue to be served.
func (d *drainRate) recordDeparture() {
	d.departures++
	d.total++
}

// known reports whether there were enough departures to rely on the rate.
func (d *drainRate) known() bool { return d.total >= minDepartures }

// estimateWait estimates the time until n requests are served. Before the first
// departure it returns the time during which requests have been queued.
func (d *drainRate) estimateWait(n int) time.Duration {
	if n <= 0 || d.busy <= 0 {
		return 0
	}
	seconds := float64(n) * d.busy / d.departures
	if d.total == 0 {
		seconds = d.busy
	}
	if limit := (maxRetryAfter * 1000).Seconds(); !(seconds < limit) {
		seconds = limit
	}
	return time.Duration(seconds * float64(time.Second))
}
