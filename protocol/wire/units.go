package wire

import (
	"math"
	"time"
)

// longest is the greatest time that a message may tell. It leaves room for
// sums of times.
const longest = 100 * 365 * 24 * time.Hour

// Millis returns a time that a message tells in milliseconds: 0 if it is
// negative, and 100 years if it is longer than that.
func Millis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), longest.Milliseconds())) * time.Millisecond
}

// Amount returns a cost that a message tells: 0 if it is negative or not a
// finite number.
func Amount(cost float64) float64 {
	if cost > 0 && !math.IsInf(cost, 1) {
		return cost
	}
	return 0
}
