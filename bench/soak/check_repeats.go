package soak

import (
	"fmt"
	"time"
)

// longestCall is the time after which an attempt of a caller has ended, and is in the record.
const longestCall = 8 * time.Second

// tooManyRepeats counts the arrivals beyond the first of each request in sliding windows. Requests
// are those of the window, of the one before it or of the one half a window before it, whichever
// has most. In a record of a run that goes on, windows count whose requests have all ended.
func tooManyRepeats(r *Record) []string {
	seen := map[string]bool{}
	repeats := map[string][]time.Time{}
	for _, a := range r.Arrivals {
		if seen[a.ID] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		seen[a.ID] = true
	}
	var out []string
	for service, times := range repeats {
		if what := worstWindow(r, service, times); what != "" {
			out = append(out, what)
		}
	}
	return out
}

// worstWindow describes the first window with too many repeats at the service; "" if there is none.
func worstWindow(r *Record, service string, times []time.Time) string {
	asked := r.askedAt(service)
	for i, from := range times {
		until := from.Add(repeatSpan)
		if !r.Until.IsZero() && until.Add(longestCall).After(r.Until) {
			return ""
		}
		in := countWithin(times[i:], from, until)
		most := 0
		for _, back := range []time.Duration{0, repeatSpan / 2, repeatSpan} {
			most = max(most, countWithin(asked, from.Add(-back), until.Add(-back)))
		}
		if float64(in) > repeatRatio*float64(most)+repeatSlack {
			return fmt.Sprintf("%d repeats of %d requests at %s from %v", in, most, service, from)
		}
	}
	return ""
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
