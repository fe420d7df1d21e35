package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"goldcrestport/coordination/leave"
	"goldcrestport/coordination/origin"
	"goldcrestport/transport/duty"
)

// shutdownTimeout bounds the closing of the callers' connections once no request is in flight.
const shutdownTimeout = 200 * time.Millisecond

// shutDown runs the phases of a graceful shutdown.
func (r *Router) shutDown(srv *http.Server) {
	cfg := leave.DefaultConfig()
	// Everything must have ended within the bound, as the process is killed then.
	cfg.Linger, cfg.Ending = r.set.Linger(), shutdownTimeout
	cfg.Bound = max(r.set.Stop.Bound.D()-2*shutdownTimeout, cfg.Linger)
	r.event("leaving", "held", r.inFlight.Load())
	r.origins.handOver(time.Now(), func(origin.Record) bool { return true })
	r.leaving.begin(time.Now(), cfg)
	r.unready.Store(true)
	duty.Leave(cfg, r.inFlight.Load, r.abort, func(p leave.Phase) { r.enterPhase(p, srv) })
}

// enterPhase starts a phase of the shutdown.
func (r *Router) enterPhase(p leave.Phase, srv *http.Server) {
	switch p {
	case leave.Refusing:
		r.shuttingDown.Store(true)
	case leave.Ending:
		r.event("stop_bound_passed", "held", r.inFlight.Load())
		r.shuttingDown.Store(true)
		r.end()
	case leave.Stopped:
		r.event("stopped", "held", r.inFlight.Load())
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		r.origins.handOver(time.Now(), r.origins.mayBeLost())
		written := make(chan struct{})
		go func() {
			defer close(written)
			var last sync.WaitGroup
			last.Go(func() { r.accountForLife(ctx) })
			last.Go(func() { r.origins.writer.last(ctx) })
			last.Wait()
		}()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
		select {
		case <-written:
		case <-ctx.Done():
		}
	}
}
