package observe

import (
	"expvar"
	"net/http"
	"time"
)

// Health serves the liveness, readiness and metrics endpoints of a process.
type Health struct {
	// Ready returns nil, or the reason why no new work is accepted.
	Ready func() error
	// Vars are the metrics of the process; nil serves those of package
	// expvar only.
	Vars *Vars
}

// Limits of a connection to the operators' listener.
const (
	operatorHeaderTimeout  = 5 * time.Second
	operatorReadTimeout    = 30 * time.Second
	operatorIdleTimeout    = time.Minute
	operatorMaxHeaderBytes = 64 << 10
)

// Server returns an HTTP server for the operators' listener.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout:       operatorReadTimeout,
		IdleTimeout:       operatorIdleTimeout,
		MaxHeaderBytes:    operatorMaxHeaderBytes,
	}
}

// Mount adds /healthz, /readyz and /debug/vars to the mux.
func (h Health) Mount(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", h.serveReady)
	var vars http.Handler = expvar.Handler()
	if h.Vars != nil {
		vars = h.Vars
	}
	mux.Handle("GET /debug/vars", vars)
}

func (h Health) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
