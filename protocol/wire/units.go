package wire

import (
	"math"
	"time"
)

// longest is the greatest time that is accepted from a message. It leaves room for
// sums of times.
const longest = 100 * 365 * 24 * time.Hour

// Millis returns a time that a message gives in milliseconds: 0 if it is
// negative, and 100 years if it is longer than that.
func Millis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), longest.Milliseconds())) * time.Millisecond
}

// Amount returns a cost that a message gives: 0 if it is negative or not a
// finite number.
func Amount(cost float64) float64 {
	if cost > 0 && !math.IsInf(cost, 1) {
		return cost
	}
	return 0
}
