package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/staleness"
)

// errOldConfig means that a newer configuration may have taken the caller's key away.
var errOldConfig = errors.New("the configuration cannot be shown to be current")

// errStale means that this router's information is too old to send to the server.
var errStale = errors.New("the information about draining servers is too old")

// knowledge describes how current this router's information about draining servers is. The
// caller holds mu.
func (r *Router) knowledge() staleness.Knowledge {
	k := staleness.Knowledge{StoreUnreachable: r.roster.StoreUnavailable(), Saturated: r.load.saturated.Load()}
	k.Age, k.Known = r.fresh.Age(bootTime())
	return k
}

// isBlind reports whether the router is too saturated to know which servers are draining.
func (r *Router) isBlind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Staleness.IsBlind(r.knowledge())
}

// freshInfoWait bounds the time for which a request waits for more recent information, which
// the store usually gives within a few milliseconds; freshInfoPoll is the polling interval.
const (
	freshInfoWait = 150 * time.Millisecond
	freshInfoPoll = 5 * time.Millisecond
)

// awaitFreshInfo reports whether the information about draining servers is recent enough to
// send the request to the server. A router that had nothing to send for a while may have to
// query the store first.
func (c *call) awaitFreshInfo(ctx context.Context, server roster.Server) bool {
	end := time.Now().Add(min(freshInfoWait, c.left()))
	for !c.r.mayRelyOn(server) {
		if ctx.Err() != nil || c.r.isBlind() || time.Now().After(end) {
			return false
		}
		time.Sleep(freshInfoPoll)
	}
	return true
}

// mayRelyOn is mayRely for callers that do not hold mu.
func (r *Router) mayRelyOn(server roster.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayRely(server)
}

// mayRely reports whether the information about draining servers is recent enough to send a
// request to the server. The store is queried before the information is too old. The caller
// holds mu.
func (r *Router) mayRely(server roster.Server) bool {
	k := r.knowledge()
	if r.cfg.Staleness.NeedsRead(k) {
		r.requestFreshInfo()
	}
	if !r.cfg.Staleness.IsStale(k) {
		return true
	}
	if at := r.pool.Answered(server.Identity()); !at.IsZero() {
		k.Answered, k.SinceAnswer = true, time.Since(at)
	}
	return r.cfg.Staleness.MaySend(k)
}

// requestFreshInfo makes the task that follows the store query it at once.
func (r *Router) requestFreshInfo() {
	select {
	case r.infoWanted <- struct{}{}:
	default:
	}
}
