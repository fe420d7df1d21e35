package soak

import (
	"fmt"
	"time"

	"goldcrestport/standin/backend"
)

// tooManyRepeats counts the arrivals beyond the first of each request in
// sliding windows.
func tooManyRepeats(r *Record) []string {
	arrivals := map[string][]backend.Arrival{}
	seen := map[string]bool{}
	repeats := map[string][]time.Time{}
	for _, a := range r.Arrivals {
		arrivals[a.Service] = append(arrivals[a.Service], a)
		if seen[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		seen[a.ID] = true
	}
	var out []string
	for service, times := range repeats {
		for i, from := range times {
			in := countWithin(times[i:], from.Add(repeatSpan))
			asked := r.asked(service, from.Add(-repeatSpan), from.Add(repeatSpan))
			if float64(in) > repeatRatio*float64(asked)+repeatSlack {
				out = append(out, fmt.Sprintf("%d repeats of %d requests at %s from %v", in, asked, service, from))
				break
			}
		}
	}
	return out
}

func countWithin(times []time.Time, until time.Time) int {
	n := 0
	for _, t := range times {
		if t.Before(until) {
			n++
		}
	}
	return n
}

// asked counts the callers' requests for the service in the span. What the
// pages count is the busiest window, which is no more than this.
func (r *Record) asked(service string, from, until time.Time) int {
	n := 0
	for _, c := range r.Calls {
		fits := c.Kind.isStream() == (service == engineService)
		if fits && c.Sent.After(from) && c.Sent.Before(until) {
			n++
		}
	}
	return n
}
