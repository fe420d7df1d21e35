package direct

import (
	"time"

	"goldcrestport/coordination/repeats"
)

// countRequest credits the service's retry budget for a new request.
func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request(time.Now())
}

func (r *Router) takeRepeat(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.budget(service).Take(time.Now(), r.admission.Routers())
	if ok {
		r.metrics.repeats.Add(1)
	}
	return ok
}

// budget returns the service's retry budget. The caller holds mu.
func (r *Router) budget(service string) *repeats.Budget {
	b := r.budgets[service]
	if b == nil {
		b = repeats.New(r.cfg.Repeats)
		r.budgets[service] = b
	}
	return b
}
