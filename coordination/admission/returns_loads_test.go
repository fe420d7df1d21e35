package admission

import (
	"fmt"
	"math"
	"time"
)

// sizeClass is a kind of request.
type sizeClass struct {
	name               string
	prompt, output     int
	weight             float64 // fraction of the requests
	objective, timeout time.Duration
}

func modelClasses() []sizeClass {
	return []sizeClass{
		{"long", 12_000, 385, 0.11, time.Second, 15 * time.Second},
		{"short", 826, 294, 0.67, 400 * time.Millisecond, 15 * time.Second},
		{"lookup", 2_368, 21, 0.22, 500 * time.Millisecond, 3 * time.Second},
	}
}

// returnsLoad is what varies between runs of the model.
type returnsLoad struct {
	name string
	// all is the factor of the mean load at a time, flood that of the first team's.
	all, flood func(at time.Duration) float64
	// herdAt is when the callers of some seconds come back at once; 0: never.
	herdAt time.Duration
	// isOfAll is set if all teams take part in the peak.
	isOfAll bool
	// until is the end of the arrivals.
	until time.Duration
}

func constant(f float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return f }
}

// between is the given factor within the times, else 1.
func between(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

// wave alternates between high and low for half of the period each.
func wave(period time.Duration, high, low float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < period/2 {
			return high
		}
		return low
	}
}

// heavyReturns are the loads under which many callers are refused.
func heavyReturns() []returnsLoad {
	second := time.Second
	return []returnsLoad{
		{name: "team floods", all: constant(1), flood: between(4*second, 10*second, 9), until: 24 * second},
		{name: "data centre returns", isOfAll: true, all: constant(1.3), flood: constant(1), herdAt: 6 * second, until: 18 * second},
		{name: "burst", isOfAll: true, all: between(4*second, 12*second, 2), flood: constant(1), until: 24 * second},
		{name: "three times the load", isOfAll: true, all: between(4*second, 10*second, 3), flood: constant(1), until: 24 * second},
		{name: "waves", isOfAll: true, all: wave(15*second, 1.55*1.3, 0.45*1.3), flood: constant(1), until: 45 * second},
	}
}

// returnTally counts what became of requests.
type returnTally struct {
	calls, returned, servedReturns, onTimeReturns, onTime, late, lost int
}

func (t returnTally) String() string {
	return fmt.Sprintf("%d calls: in time %.1f%%, late %.1f%%, lost %.1f%%; of %d that came back %.1f%% served, %.1f%% in time",
		t.calls, percent(t.onTime, t.calls), percent(t.late, t.calls), percent(t.lost, t.calls), t.returned, percent(t.servedReturns, t.returned), percent(t.onTimeReturns, t.returned))
}

// standardError returns that of a share of the calls, in percent, at its largest.
func standardError(calls int) float64 { return 50 / math.Sqrt(float64(max(calls, 1))) }

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func (t *returnTally) add(o returnTally) {
	t.calls += o.calls
	t.returned += o.returned
	t.servedReturns += o.servedReturns
	t.onTimeReturns += o.onTimeReturns
	t.onTime += o.onTime
	t.late += o.late
	t.lost += o.lost
}
