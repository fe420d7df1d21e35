package direct

import (
	"time"

	"goldcrestport/coordination/repeats"
)

// retryLogLimit bounds the log lines per second about retries. They have their own limit, above
// the retries that a fleet may send in a second, so that their sum can be told from the lines.
const retryLogLimit = 1000

// String returns the cause of a further send, as logs and metrics name it.
func (s step) String() string {
	switch s {
	case refused:
		return "refused"
	case failed:
		return "failed"
	case broken:
		return "broken"
	default:
		return "done"
	}
}

// creditRetryBudget credits the service's retry budget for a new request.
func (r *Router) creditRetryBudget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).Request(time.Now())
}

// takeRetry takes a retry of the request from the budget of its service. It reports whether there
// was one.
func (c *call) takeRetry(cause step) bool {
	r := c.r
	r.mu.Lock()
	now := time.Now()
	d := r.retryBudget(c.service).Take(now, r.fleetSize.Routers(now))
	r.mu.Unlock()
	verdict := "denied"
	if d.Granted {
		verdict = "granted"
		r.metrics.repeats.Add(1)
	}
	r.metrics.retries.Add(c.service+"/"+cause.String()+"/"+verdict, 1)
	c.logRetry(cause, verdict, d)
	return d.Granted
}

// logRetry logs what the budget held as a retry was granted or denied.
func (c *call) logRetry(cause step, verdict string, d repeats.Decision) {
	allowed, dropped := c.r.retryLines.Allow("retry", time.Now())
	if !allowed {
		return
	}
	c.r.event("retry", "request", c.meta.ID, "service", c.service, "after_server", c.server.ID, "cause", cause, "verdict", verdict, "sent", c.sent, "reached", c.reached,
		"requests", d.Requests, "retries", d.Retries, "credit", roundTo(d.Credit, creditDigits), "earned", roundTo(d.Earned, creditDigits), "routers", d.Routers,
		"life_ms", time.Since(c.r.startedAt).Milliseconds(), "left_out", dropped)
}

// creditDigits is the number of decimals of logged credits.
const creditDigits = 2

// retryBudget returns the service's retry budget. The caller holds mu.
func (r *Router) retryBudget(service string) *repeats.Budget {
	b := r.budgets[service]
	if b == nil {
		b = repeats.New(r.cfg.Repeats, r.startedAt)
		r.budgets[service] = b
	}
	return b
}

// logProbe logs and counts a send of a request that is refused otherwise, or that carries refused
// parts of prompts. The caller holds mu.
func (c *call) logProbe(server string, sent sentRun) {
	parts := sent.parts.Probing()
	whole := sent.request.IsProbe()
	if len(parts) == 0 && !whole {
		return
	}
	c.r.metrics.probesSent.Add(1)
	if allowed, dropped := c.r.retryLines.Allow("refused_probe", time.Now()); allowed {
		c.r.event("refused_probe", "request", c.meta.ID, "service", c.service, "server", server, "content", c.fingerprint, "whole", whole,
			"parts", writeParts(parts), "life_ms", time.Since(c.r.startedAt).Milliseconds(), "left_out", dropped)
	}
}
