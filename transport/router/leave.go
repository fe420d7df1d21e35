package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/leave"
	"goldcrestport/transport/duty"
)

// shutdownTimeout bounds the closing of the callers' connections once nothing
// is held.
const shutdownTimeout = time.Second

// errLeaving is the cause with which a held request is ended when the stop
// bound has passed.
var errLeaving = errors.New("the router stops")

// Abort ends a graceful shutdown early: what is still held ends with a typed
// outcome. It may be called at any time and more than once.
func (r *Router) Abort() { r.abortOnce.Do(func() { close(r.abort) }) }

// holding counts the requests that are held and ends them with errLeaving
// when the router is told to end.
func (r *Router) holding(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.held.Add(1)
		defer r.held.Add(-1)
		ctx, cancel := context.WithCancelCause(req.Context())
		defer cancel(nil)
		stop := context.AfterFunc(r.ending, func() { cancel(errLeaving) })
		defer stop()
		if r.unready.Load() {
			// Idle connections stay open until the end: one that is closed
			// while a caller sends on it leaves the caller in doubt.
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, req.WithContext(ctx))
	})
}

// leave refuses new work, waits for what is held and returns when the process
// may end.
func (r *Router) leave(srv *http.Server) {
	cfg := leave.DefaultConfig()
	cfg.Linger, cfg.Bound = r.set.Stop.Linger.D(), r.set.Stop.Bound.D()
	_ = r.log.Log("event", "leaving", "held", r.held.Load())
	r.unready.Store(true)
	duty.Leave(cfg, r.held.Load, r.abort, func(p leave.Phase) { r.enter(p, srv) })
}

// enter begins a phase of leaving.
func (r *Router) enter(p leave.Phase, srv *http.Server) {
	switch p {
	case leave.Refusing:
		// The listener stays open: who comes is told that nothing was run.
		r.leaving.Store(true)
	case leave.Ending:
		_ = r.log.Log("event", "stop_bound_passed", "held", r.held.Load())
		r.leaving.Store(true)
		r.end()
	case leave.Stopped:
		_ = r.log.Log("event", "stopped", "held", r.held.Load())
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	}
}
