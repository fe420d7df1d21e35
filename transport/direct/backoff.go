package direct

import (
	"time"

	"goldcrestport/coordination/admission"
)

// recordBackoff records that a server refused the request and requested that this router send none
// for a time. The caller holds mu.
func (r *Router) recordBackoff(now time.Time, run *admission.Run, after time.Duration, request string) {
	r.metrics.backoffs.Add(1)
	if !r.admission.BackoffRequested(now, run, after) {
		return
	}
	if allowed, dropped := r.failureLines.Allow("backoff", now); allowed {
		r.event("backoff", "server", run.Server(), "incarnation", run.Incarnation(), "service", r.servers[run.Server()].Service, "asked_ms", after.Milliseconds(),
			"wait_ms", r.admission.Backoff(run).Wait(now).Milliseconds(), "said_to", request, "left_out", dropped)
	}
}

// logBackoffEnded records that a server accepts requests again after a back-off. The caller
// holds mu.
func (r *Router) logBackoffEnded(now time.Time, run *admission.Run) {
	if allowed, dropped := r.failureLines.Allow("backoff_ended", now); allowed {
		lasted, times := r.admission.Backoff(run).Series(now)
		r.event("backoff_ended", "server", run.Server(), "incarnation", run.Incarnation(), "lasted_ms", lasted.Milliseconds(), "times", times, "left_out", dropped)
	}
}
