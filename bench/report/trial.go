package report

import (
	"time"

	"goldcrestport/bench/load"
	"goldcrestport/bench/observe"
)

// Trial is what was observed while one policy served the workload once.
type Trial struct {
	Policy string
	Teams  []load.Team
	// From and To bound the window of the measurement.
	From, To time.Time
	// Windows are the lengths, counted from From, at which the gap is told.
	Windows []time.Duration
	Pool    Pool
	// Samples of the service by team, in order.
	Samples []TeamSample
	// SlotSamples of the pool's slots, in order.
	SlotSamples []observe.SlotSample
	// Results of the callers in the window.
	Results []load.Result
	// Started tells when an engine started a request.
	Started func(requestID string) (time.Time, bool)
	// Before and After are the uses of routers and sidecars at the window's
	// edges.
	Before, After map[string]observe.Use
	// QuietBefore and QuietAfter are the same for a span in which work
	// waited, but no request was sent, run or ended.
	QuietBefore, QuietAfter map[string]observe.Use
}

// TeamSample is the service by team at a time, with what was outstanding.
type TeamSample struct {
	observe.Sample
	Outstanding map[string]int
}

// Pool is the size of the pool under measurement.
type Pool struct {
	Sidecars int
	// Slots and LookAhead of each sidecar.
	Slots, LookAhead int
	// MaxCost of one request, in cost units.
	MaxCost float64
	// CostRate is the cost units a second that one slot gives at most.
	CostRate float64
	// ChargeEvery is the time between two charges of a running request.
	ChargeEvery time.Duration
}

// window returns the trial's samples between From and the length after it.
func (t *Trial) window(length time.Duration) []TeamSample {
	var out []TeamSample
	for _, s := range t.Samples {
		if !s.At.Before(t.From) && !s.At.After(t.From.Add(length)) {
			out = append(out, s)
		}
	}
	return out
}

// backlogged returns the teams that had waiting requests at every sample.
func backlogged(teams []load.Team, samples []TeamSample) []load.Team {
	var out []load.Team
	for _, t := range teams {
		always := t.Service() == load.ModelService
		for _, s := range samples {
			always = always && s.Outstanding[t.Name] > s.Running[t.Name]
		}
		if always {
			out = append(out, t)
		}
	}
	return out
}
