package direct

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime reads the clock that continues while the instance is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	// The clock exists on every kernel that the product supports; the zero time of a failure
	// counts as information that is too old.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// wallTime converts a reading of bootTime to the wall clock.
func wallTime(at time.Duration) time.Time { return time.Now().Add(at - bootTime()) }

// isFresh reports whether requests that need a key may be served now.
func (r *Router) isFresh() bool {
	now := bootTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fresh.Fresh(now)
}

// configAge returns the time since the configuration was confirmed as current, or -1ms if it
// never was.
func (r *Router) configAge() time.Duration {
	now := bootTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	age, known := r.fresh.Age(now)
	if !known {
		return -time.Millisecond
	}
	return age
}
