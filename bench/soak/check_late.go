package soak

import (
	"fmt"
	"time"
)

// sendSlack is the time after its caller's deadline up to which a request may still reach
// a server.
const sendSlack = 100 * time.Millisecond

// sentLate finds requests that began at a server though their callers waited no longer.
func sentLate(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		end := c.Sent.Add(c.Kind.timeout() + sendSlack)
		for _, run := range r.Runs[c.ID] {
			if run.Began.After(end) && !r.unreachedServer(c) && r.calm(c.Router, c.Sent, run.Began) {
				out = append(out, fmt.Sprintf("%s (%s) at router %d, sent at %v with %v, began at %v", c.ID, c.Kind, c.Router, c.Sent, c.Kind.timeout(), run.Began))
			}
		}
	}
	return out
}
