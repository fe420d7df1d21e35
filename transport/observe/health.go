package observe

import (
	"expvar"
	"net/http"
	"time"
)

// Health tells whether a process lives and whether it takes new work.
type Health struct {
	// Ready returns nil, or why no new work is taken.
	Ready func() error
	// Vars are the metrics of the process; nil for those of package expvar
	// only.
	Vars *Vars
}

// Bounds of a connection to the operators' listener.
const (
	opsHeaderTimeout = 5 * time.Second
	opsReadTimeout   = 30 * time.Second
	opsIdleTimeout   = time.Minute
	opsMaxHeaders    = 64 << 10
)

// Server returns an HTTP server for the operators' listener.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: opsHeaderTimeout,
		ReadTimeout:       opsReadTimeout,
		IdleTimeout:       opsIdleTimeout,
		MaxHeaderBytes:    opsMaxHeaders,
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
