package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/leave"
	"goldcrestport/transport/duty"
)

// shutdownTimeout bounds the closing of the callers' connections once no
// request is in flight.
const shutdownTimeout = time.Second

// errStopping is the cancellation cause of a request that is still in flight
// when the stop bound has passed.
var errStopping = errors.New("the router stops")

// Abort ends a graceful shutdown early: requests still in flight end with a
// typed outcome. It may be called at any time and more than once.
func (r *Router) Abort() { r.abortOnce.Do(func() { close(r.abort) }) }

// trackInFlight counts the requests in flight and cancels them with errStopping
// when stopCtx ends.
func (r *Router) trackInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.inFlight.Add(1)
		defer r.inFlight.Add(-1)
		ctx, cancel := context.WithCancelCause(req.Context())
		defer cancel(nil)
		stop := context.AfterFunc(r.stopCtx, func() { cancel(errStopping) })
		defer stop()
		if r.unready.Load() {
			// Idle connections stay open until the router stops: if one were
			// closed while a caller sends a request on it, the caller could
			// not know whether the request ran.
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, req.WithContext(ctx))
	})
}

// shutDown refuses new requests, waits for those in flight and returns when the
// process may exit.
func (r *Router) shutDown(srv *http.Server) {
	cfg := leave.DefaultConfig()
	cfg.Linger, cfg.Bound = r.set.Stop.Linger.D(), r.set.Stop.Bound.D()
	_ = r.log.Log("event", "leaving", "held", r.inFlight.Load())
	r.unready.Store(true)
	duty.Leave(cfg, r.inFlight.Load, r.abort, func(p leave.Phase) { r.enterPhase(p, srv) })
}

// enterPhase starts a phase of the shutdown.
func (r *Router) enterPhase(p leave.Phase, srv *http.Server) {
	switch p {
	case leave.Refusing:
		// The listener stays open, so that new requests get an explicit not-run
		// refusal.
		r.refusing.Store(true)
	case leave.Ending:
		_ = r.log.Log("event", "stop_bound_passed", "held", r.inFlight.Load())
		r.refusing.Store(true)
		r.cancelInFlight()
	case leave.Stopped:
		_ = r.log.Log("event", "stopped", "held", r.inFlight.Load())
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	}
}
