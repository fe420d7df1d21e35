package throttle

import (
	"math"
	"time"
)

// outcome is the result of a run.
type outcome struct {
	// least is the smallest ratio, over windows of six seconds, of what a flood got to the
	// lesser of what it requested and what the best served team got.
	least float64
	// first is what a flood got in its first second, relative to its mean in the last
	// eight seconds.
	first float64
	// swing is the largest relative deviation of one second of the wide flood from its
	// mean, in the last eight seconds. over is the largest relative excess over that mean
	// of two seconds in a row.
	swing, over float64
	// used is the fraction of the backend servers' tokens that was used during the flood.
	used float64
}

const comparedSeconds = 6

func sum(s []float64, from, to int) float64 {
	total := 0.0
	for i := from; i < min(to, len(s)); i++ {
		total += s[i]
	}
	return total
}

// ratioToBest returns what a team got relative to the lesser of what it requested and what the
// best served team got.
func (f *fleet) ratioToBest(load *workload, from, to int) float64 {
	best := 0.0
	for _, other := range f.workloads {
		best = max(best, sum(other.sentPerSecond, from, to))
	}
	return sum(load.sentPerSecond, from, to) / min(best, sum(load.requestedPerSecond, from, to))
}

func (f *fleet) outcome() outcome {
	wide, narrow := f.workloads[len(f.workloads)-2], f.workloads[len(f.workloads)-1]
	start, end := int(modelWarmUp/time.Second), int((modelWarmUp+modelFloodTime)/time.Second)
	o := outcome{least: math.Inf(1)}
	for _, load := range []*workload{wide, narrow} {
		for from := int(load.from / time.Second); from+comparedSeconds <= end; from++ {
			o.least = min(o.least, f.ratioToBest(load, from, from+comparedSeconds))
		}
	}
	settled := end - 8
	mean := sum(wide.sentPerSecond, settled, end) / 8
	floodStart := int(wide.from / time.Second)
	o.first = sum(wide.sentPerSecond, floodStart, floodStart+1) / mean
	for i := settled; i < end; i++ {
		o.swing = max(o.swing, math.Abs(sum(wide.sentPerSecond, i, i+1)/mean-1))
	}
	for i := max(floodStart, int(narrow.from/time.Second)) + 1; i+2 <= end; i++ {
		o.over = max(o.over, sum(wide.sentPerSecond, i, i+2)/2/mean-1)
	}
	total := 0.0
	for _, load := range f.workloads {
		total += sum(load.sentPerSecond, start, end)
	}
	o.used = total / (f.scenario.real * f.configured * modelFloodTime.Seconds())
	return o
}

func play(s scenario, design func(*router) limiter) outcome {
	f := newFleet(s, design)
	f.run()
	return f.outcome()
}
