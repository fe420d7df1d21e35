package soak

import "fmt"

// Summary tells in one line what happened in a run.
func Summary(r *Record) string {
	whole, refused, unanswered, quarantined, blamed := 0, 0, 0, 0, 0
	for _, c := range r.Calls {
		switch {
		case c.Status == 200 && c.Whole:
			whole++
		case c.Status == 429 || c.Status == 503:
			refused++
		case c.Status == 400 && c.Crashes:
			quarantined++
		case c.Status == 400:
			blamed++
		case c.Status == 0:
			unanswered++
		}
	}
	return fmt.Sprintf("requests=%d whole=%d refused=%d unanswered=%d quarantined=%d blamed=%d crashes=%d runs=%d failures=%d changes=%d",
		len(r.Calls), whole, refused, unanswered, quarantined, blamed, len(r.Crashes), len(r.Runs), len(r.Failures), len(r.Changes))
}
