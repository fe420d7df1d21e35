package admission

import (
	"math"
	"time"
)

// Parameters of the slowdown estimate.
const (
	// slowdownDecay is the time in which observations lose most of their weight: a
	// server that becomes slow is detected within seconds, as is its recovery.
	slowdownDecay = 3 * time.Second
	// slowdownMinEstimate is the shortest estimate that is used; in shorter ones the
	// network and the engine step weigh as much as the prefill.
	slowdownMinEstimate = 20 * time.Millisecond
	// slowdownPrior is the weight of the assumption that a server is as fast as
	// configured: as much as a few long prompts.
	slowdownPrior = 300 * time.Millisecond
	// minSlowdown and maxSlowdown limit the factor: servers differ by tens of per
	// cent, and slow ones take up to eight times as long.
	minSlowdown = 0.5
	maxSlowdown = 8
)

// slowdown estimates how much longer a server's prefill takes than estimated: the
// ratio of the sums of observed and estimated times over the last seconds.
type slowdown struct {
	estimated, observed float64
	updatedAt           time.Time
}

// observe records an estimated time and the time that was observed for it.
func (s *slowdown) observe(now time.Time, estimated, observed time.Duration) {
	if estimated < slowdownMinEstimate {
		return
	}
	decay := s.decay(now)
	s.estimated = s.estimated*decay + float64(estimated)
	s.observed = s.observed*decay + float64(observed)
	s.updatedAt = now
}

// decay returns the fraction of their weight that the observations still have.
func (s *slowdown) decay(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(s.updatedAt)) / float64(slowdownDecay))
}

// factor returns the ratio of observed to estimated time.
func (s *slowdown) factor(now time.Time) float64 {
	decay := s.decay(now)
	ratio := (s.observed*decay + float64(slowdownPrior)) / (s.estimated*decay + float64(slowdownPrior))
	return min(max(ratio, minSlowdown), maxSlowdown)
}
