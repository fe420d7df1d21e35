package direct

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/transport/observe"
)

// ready returns nil, or why the router should receive no new requests.
func (r *Router) ready() error {
	if r.unready.Load() {
		return errors.New("leaving")
	}
	if r.table.Load() == nil {
		return errors.New("no configuration yet")
	}
	if r.load.outOfRotation.Load() {
		return errors.New("the processor has too much work")
	}
	if r.isFull() {
		return errors.New("every place for a connection is taken")
	}
	now := bootTime()
	if cut := time.Duration(r.storeSilentSince.Load()); cut != 0 && now-cut > partitionedReadyTime {
		return errors.Newf("the store has not answered this router for %v", now-cut)
	}
	r.mu.Lock()
	age, known := r.fresh.Age(now)
	bound := time.Duration(unreadyFreshnessShare * float64(r.cfg.Freshness))
	r.mu.Unlock()
	if !known || age > bound {
		return errors.Newf("the configuration was last known to be the newest %v ago", age)
	}
	return nil
}

func (r *Router) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.set.Listen.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := r.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

func (r *Router) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	observe.Health{Ready: r.ready, Vars: r.metrics.vars}.Mount(mux)
	mux.HandleFunc("GET /metrics", r.metrics.vars.ServeText)
	mux.HandleFunc("GET /quarantine", r.listQuarantine)
	mux.HandleFunc("DELETE /quarantine/{content}", r.releaseQuarantined)
	return mux
}
