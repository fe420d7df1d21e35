package direct

import (
	"time"

	"goldcrestport/coordination/repeats"
)

// creditRetryBudget credits the service's retry budget for a new request.
func (r *Router) creditRetryBudget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).Request(time.Now())
}

func (r *Router) takeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.retryBudget(service).Take(time.Now(), r.admission.Routers())
	if ok {
		r.metrics.repeats.Add(1)
	}
	return ok
}

// retryBudget returns the service's retry budget. The caller holds mu.
func (r *Router) retryBudget(service string) *repeats.Budget {
	b := r.budgets[service]
	if b == nil {
		b = repeats.New(r.cfg.Repeats)
		r.budgets[service] = b
	}
	return b
}
