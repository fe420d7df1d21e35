package watchduty

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retry holds the pauses between calls to a store that fails.
//
// While the store is unavailable every router finds its view stale and polls it. The
// fleet's calls then grow with its size, at a time when the store can use them least.
// So after a few failures in a row only the watchers go on at a short pause, and report to
// the others that the store is back. The others poll rarely, in case the watchers are lost or
// cannot reach them.
type Retry struct {
	// Pause is the pause of a watcher, and of every router after its first failures. Default
	// 150ms.
	Pause time.Duration
	// ShortFailures is the number of failures in a row after which other routers pause for
	// longer: a single lost answer is no outage. Default 2.
	ShortFailures int
	// FleetRate bounds the calls per second of all routers that are not watchers; their pause grows
	// with the fleet. Default 20.
	FleetRate float64
	// MaxPause bounds the pause of routers that are not watchers. Default 1s: a router that the watchers
	// cannot reach must learn of a server's shutdown within 2 s of the store's return.
	MaxPause time.Duration
}

// DefaultRetry returns the documented defaults.
func DefaultRetry() Retry {
	return Retry{Pause: 150 * time.Millisecond, ShortFailures: 2, FleetRate: 20, MaxPause: time.Second}
}

// pauseSpread is the part of a pause by which the pauses of routers differ, so that those of a fleet
// do not call at the same moment.
const pauseSpread = 0.3

// After returns the pause of the router after the given number of failed calls in a row. The slice routers
// holds the ids of all registered routers.
func (r Retry) After(failures int, duty Config, self string, routers []string) time.Duration {
	if failures <= r.ShortFailures || duty.isChosen(self, routers) {
		return r.Pause
	}
	pause := time.Duration(float64(len(routers)) / r.FleetRate * float64(time.Second))
	pause = min(max(pause, r.Pause), r.MaxPause)
	return pause - time.Duration(pauseSpread*phase(self, failures)*float64(pause))
}

// phase returns a number in [0, 1) that differs between routers and from one failure to the next.
func phase(self string, failures int) float64 {
	hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(self), uint64(failures)))
	return float64(hash>>11) / (1 << 53)
}
