package direct

import (
	"context"
	"time"

	"goldcrestport/transport/callerconn"
)

// idleSlack is how long after the configured idle timeout a caller's connection is kept:
// callers use connections until shortly before that timeout.
const idleSlack = 500 * time.Millisecond

// sweepCallers closes callers' connections that are idle for too long. When there are too many it also closes
// idle ones, and those whose bodies stopped coming.
func (r *Router) sweepCallers(now time.Time) {
	limit := r.set.Callers.IdleTimeout.D()
	if t := r.table.Load(); t != nil && t.Limits().IdleTimeout > 0 {
		limit = t.Limits().IdleTimeout + idleSlack
	}
	r.adjustBodyBudget()
	kept := maxKeptConnections(r.set)
	if closed := r.callers.Sweep(now, limit, kept); closed > 0 {
		r.metrics.closedIdle.Add(int64(closed))
	}
	if excess := r.callers.Open() - kept; excess > 0 {
		r.bodies.EndStalled(excess, callerconn.SilentTime)
	}
}

// noteFull records that a caller's connection waits for another to be closed.
func (r *Router) noteFull() {
	select {
	case r.callersFull <- struct{}{}:
	default:
	}
}

// fullInterval is the shortest time between two searches for connections to close.
const fullInterval = 20 * time.Millisecond

// relieveCallers closes connections as soon as a caller waits for one, until ctx ends.
func (r *Router) relieveCallers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.callersFull:
			r.sweepCallers(time.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fullInterval):
		}
	}
}
