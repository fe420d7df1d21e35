package inforce

import (
	"slices"
	"time"
)

// Phase is what one phase of the measurement gave.
type Phase struct {
	Name string `json:"name"`
	// Seconds that the phase took.
	Seconds float64 `json:"seconds"`
	// Changes accepted in the phase.
	Changes int `json:"changes"`
	// Samples is the number of (change, process) pairs that counted.
	Samples int `json:"samples"`
	// In force after the acceptance, or after the start of a later process.
	P50MS float64 `json:"in_force_p50_ms"`
	P99MS float64 `json:"in_force_p99_ms"`
	MaxMS float64 `json:"in_force_max_ms"`
	// Late counts the pairs beyond the limit of 3 s.
	Late int `json:"late"`
	// Platform calls: mean and the worst second.
	ReadsPerSecond  float64 `json:"platform_reads_per_s"`
	WritesPerSecond float64 `json:"platform_writes_per_s"`
	WorstReads      int64   `json:"platform_reads_worst_s"`
	WorstWrites     int64   `json:"platform_writes_worst_s"`
	Waiting         int     `json:"platform_watches_waiting"`
}

// Report is the result of a measurement.
type Report struct {
	Routers  int     `json:"routers"`
	Sidecars int     `json:"sidecars"`
	Phases   []Phase `json:"phases"`
	// Falls counts revisions in force that were lower than one before.
	Falls int `json:"revisions_fallen"`
}

// delays fills in the quantiles of a phase.
func (p *Phase) delays(d []time.Duration, limit time.Duration) {
	p.Samples = len(d)
	if len(d) == 0 {
		return
	}
	slices.Sort(d)
	p.P50MS = ms(quantile(d, 0.5))
	p.P99MS = ms(quantile(d, 0.99))
	p.MaxMS = ms(d[len(d)-1])
	for _, v := range d {
		if v >= limit {
			p.Late++
		}
	}
}

// quantile returns the smallest value that at least the fraction q does not
// exceed. The values are sorted.
func quantile(d []time.Duration, q float64) time.Duration {
	i := int(q*float64(len(d))+0.999999) - 1
	return d[min(max(i, 0), len(d)-1)]
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
