package dispatch

import "time"

// oneToken is one, less what adding fractions may lose.
const oneToken = 1 - 1e-9

// bucket is a token bucket: tokens come with time and by gifts, up to a burst.
type bucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	at        time.Time
}

func newBucket(perSecond, burst float64) bucket {
	return bucket{perSecond: perSecond, burst: burst, tokens: burst}
}

func (b *bucket) give(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// take takes one token if there is one.
func (b *bucket) take(now time.Time) bool {
	if passed := now.Sub(b.at); !b.at.IsZero() && passed > 0 {
		b.give(passed.Seconds() * b.perSecond)
	}
	if b.at.Before(now) {
		b.at = now
	}
	if b.tokens < oneToken {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}
