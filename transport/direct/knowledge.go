package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/staleness"
)

// errStale is of a server that must not be sent to by knowledge as old as this router's.
var errStale = errors.New("it is not known whether the server has left")

// knowledge is what this router knows of who leaves. The caller holds mu.
func (r *Router) knowledge() staleness.Knowledge {
	k := staleness.Knowledge{StoreUnreachable: r.roster.StoreUnavailable(), Saturated: r.load.saturated.Load()}
	k.Age, k.Known = r.fresh.Age(bootTime())
	return k
}

// isBlind reports whether the router has too much work to know which servers leave.
func (r *Router) isBlind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Staleness.IsBlind(r.knowledge())
}

// knowledgeWait bounds the time for which a request waits for younger knowledge, which the store
// usually gives in some milliseconds; knowledgeStep is the time between two looks at it.
const (
	knowledgeWait = 150 * time.Millisecond
	knowledgeStep = 5 * time.Millisecond
)

// awaitKnowledge reports whether the server may be sent the request by what is known of who
// leaves. A router that had nothing to send for a while may have to ask the store first.
func (c *call) awaitKnowledge(ctx context.Context, server roster.Server) bool {
	end := time.Now().Add(min(knowledgeWait, c.left()))
	for !c.r.mayRelyOn(server) {
		if ctx.Err() != nil || c.r.isBlind() || time.Now().After(end) {
			return false
		}
		time.Sleep(knowledgeStep)
	}
	return true
}

// mayRelyOn is mayRely for who does not hold mu.
func (r *Router) mayRelyOn(server roster.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayRely(server)
}

// mayRely reports whether the server may be sent a request by what is known of who leaves.
// The store is asked before that is too old. The caller holds mu.
func (r *Router) mayRely(server roster.Server) bool {
	k := r.knowledge()
	if r.cfg.Staleness.NeedsRead(k) {
		r.wantKnowledge()
	}
	if !r.cfg.Staleness.IsStale(k) {
		return true
	}
	if at := r.pool.Answered(server.Identity()); !at.IsZero() {
		k.Answered, k.SinceAnswer = true, time.Since(at)
	}
	return r.cfg.Staleness.MaySend(k)
}

// wantKnowledge lets the duty that follows the store ask it at once.
func (r *Router) wantKnowledge() {
	select {
	case r.wanted <- struct{}{}:
	default:
	}
}
