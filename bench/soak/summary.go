package soak

import (
	"fmt"
	"strings"
	"time"
)

// Summary describes in one line what happened in a run.
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
	resumed, fresh := sharesOf(judgedStreams(r))
	return fmt.Sprintf("requests=%d whole=%d refused=%d unanswered=%d quarantined=%d blamed=%d crashes=%d runs=%d failures=%d changes=%d resumed=%d/%d begun=%d/%d",
		len(r.Calls), whole, refused, unanswered, quarantined, blamed, len(r.Crashes), len(r.Runs), len(r.Failures), len(r.Changes), resumed.good, resumed.all, fresh.good, fresh.all)
}

// Timeline lists the failures and the resumed streams that did not go on, by seconds from the first
// request.
func Timeline(r *Record) string {
	if len(r.Calls) == 0 {
		return ""
	}
	var out strings.Builder
	since := func(at time.Time) float64 { return at.Sub(r.Calls[0].Sent).Seconds() }
	for _, f := range r.Failures {
		fmt.Fprintf(&out, "%.2f to %.2f s: %s, router %d, server %q\n", since(f.From), since(f.Until), f.Kind, f.Router, f.Server)
	}
	for _, c := range judgedStreams(r) {
		if c.resumed && c.Status != 200 {
			fmt.Fprintf(&out, "%.2f s: %s at router %d does not go on as %s: %d %s%s\n", since(c.Sent), c.Resumes, c.Router, c.ID, c.Status, c.Err, c.Why)
		}
	}
	return out.String()
}
