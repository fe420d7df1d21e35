package dispatch

import "time"

// oneToken is one token less a tolerance for rounding errors that accumulate
// when fractions are added.
const oneToken = 1 - 1e-9

// bucket is a token bucket. It is refilled at a fixed rate and by explicit
// additions, up to the burst size.
type bucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	// updated is the time of the last refill.
	updated time.Time
}

func newBucket(perSecond, burst float64) bucket {
	return bucket{perSecond: perSecond, burst: burst, tokens: burst}
}

func (b *bucket) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// take removes one token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	if passed := now.Sub(b.updated); !b.updated.IsZero() && passed > 0 {
		b.add(passed.Seconds() * b.perSecond)
	}
	if b.updated.Before(now) {
		b.updated = now
	}
	if b.tokens < oneToken {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}
