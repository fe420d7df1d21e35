package soak

import (
	"fmt"
	"time"
)

// longestCall is the time after which an attempt of a caller has ended, and is in the record.
const longestCall = 8 * time.Second

// repeatsWindow is a sliding window of a service.
type repeatsWindow struct {
	from     time.Time
	repeats  int
	requests int
	allowed  float64
}

func (w repeatsWindow) used() float64 { return float64(w.repeats) / w.allowed }

// tooManyRepeats counts the arrivals beyond the first of each request in sliding windows. Requests
// are those of the window, of the one before it or of the one half a window before it, whichever
// has most. In a record of a run that goes on, windows count whose requests have all ended.
func tooManyRepeats(r *Record) []string {
	var out []string
	for service := range r.repeats() {
		if w := mostRepeats(r, service); float64(w.repeats) > w.allowed {
			out = append(out, fmt.Sprintf("%d repeats of %d requests at %s from %v, %.0f allowed", w.repeats, w.requests, service, w.from, w.allowed))
		}
	}
	return out
}

// repeats lists the times of the arrivals beyond the first of each request, by service.
func (r *Record) repeats() map[string][]time.Time {
	seen := map[string]bool{}
	out := map[string][]time.Time{}
	for _, a := range r.Arrivals {
		if seen[a.ID] {
			out[a.Service] = append(out[a.Service], a.At)
		}
		seen[a.ID] = true
	}
	return out
}

// mostRepeats returns the window of the service with the most repeats for what is allowed.
func mostRepeats(r *Record, service string) repeatsWindow {
	times, asked := r.repeats()[service], r.askedAt(service)
	worst := repeatsWindow{allowed: repeatSlack}
	for i, from := range times {
		until := from.Add(repeatSpan)
		if !r.Until.IsZero() && until.Add(longestCall).After(r.Until) {
			break
		}
		w := repeatsWindow{from: from, repeats: countWithin(times[i:], from, until)}
		for _, back := range []time.Duration{0, repeatSpan / 2, repeatSpan} {
			w.requests = max(w.requests, countWithin(asked, from.Add(-back), until.Add(-back)))
		}
		w.allowed = repeatRatio*float64(w.requests) + repeatSlack
		if w.used() > worst.used() {
			worst = w
		}
	}
	return worst
}

// countWithin counts the times in the span.
func countWithin(times []time.Time, from, until time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(until) {
			n++
		}
	}
	return n
}

// askedAt lists when callers sent requests that may go to the service.
func (r *Record) askedAt(service string) []time.Time {
	var out []time.Time
	for _, c := range r.Calls {
		if c.Kind.mayGoTo(service) {
			out = append(out, c.Sent)
		}
	}
	return out
}
