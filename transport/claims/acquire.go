package claims

import (
	"context"
	"net/http"
	"time"

	"goldcrestport/coordination/claim"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/claims"
)

// Decision says what becomes of a request.
type Decision struct {
	// Run tells that the request may be dispatched once. Finish or Release
	// must follow.
	Run bool
	// Replay is the recorded result of the key, if there is one.
	Replay *claims.Result
	// Refusal is the outcome if the request neither runs nor is replayed.
	Refusal outcome.Outcome
}

// retryAfter is the hint to a caller whose key cannot be claimed now.
const retryAfter = time.Second

// maxRounds bounds how often one request asks for its claim: after a claim
// that was given up, after a stale answer, and once more for each.
const maxRounds = 4

// Acquire claims the key of a request. A request that is not to run is never
// dispatched, whatever happens to its claim later.
func (g *Guard) Acquire(ctx context.Context, r Request) Decision {
	defer g.metrics.waited(time.Now())
	if !g.begin(r.ID) {
		return g.refused("too many non-idempotent requests are held")
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Wait)
	defer cancel()
	d := g.acquire(ctx, r)
	if !d.Run {
		// From here on this process says that the attempt was not run.
		g.forget(r.ID)
	}
	return d
}

// acquire asks until the answer is certain.
func (g *Guard) acquire(ctx context.Context, r Request) Decision {
	c := g.call(claim.Acquire, r)
	for range maxRounds {
		a := g.ask(ctx, c)
		switch a.Verdict {
		case claim.Granted:
			g.metrics.granted.Add(1)
			return Decision{Run: true}
		case claim.Replayed:
			return g.replay(a.Record.Result)
		case claim.Reused:
			if c.Fresh {
				return g.reused()
			}
			c.Fresh = true
		case claim.Held:
			d, again := g.heldBy(ctx, a.Record, &c)
			if !again {
				return d
			}
		case claim.Full:
			return g.refused("the store of keys is full")
		default:
			// The claim may be written yet. The attempt is forgotten before
			// its release is asked for.
			g.forget(r.ID)
			g.release(r)
			return g.refused("the key could not be claimed in time")
		}
	}
	return g.duplicate()
}

// heldBy asks the executor of a claim what became of its attempt. It returns
// true if the claim is worth another try, with the call changed for it.
func (g *Guard) heldBy(ctx context.Context, held claims.Record, c *claim.Call) (Decision, bool) {
	fate, result := g.fate(ctx, held.Executor, held.Attempt)
	switch fate {
	case claims.FateNotRun:
		g.metrics.takenOver.Add(1)
		c.Over = held.Attempt
		return Decision{}, true
	case claims.FateEnded:
		return g.replay(result), false
	case claims.FateRunning:
		return g.duplicate(), false
	}
	if !c.Fresh {
		c.Fresh = true
		return Decision{}, true
	}
	if fate == claims.FateGone {
		return g.executorLost(), false
	}
	return g.duplicate(), false
}

// fate asks the executor of an attempt; 0 means that it does not answer.
func (g *Guard) fate(ctx context.Context, e claims.Executor, attempt string) (claims.Fate, *claims.Result) {
	if e.Incarnation == g.executor.Incarnation {
		return g.ownFate(attempt)
	}
	if e.Address == g.executor.Address {
		return claims.FateGone, nil
	}
	sub, cancel := context.WithTimeout(ctx, g.cfg.PeerWait)
	defer cancel()
	m, err := g.peers.Claims(sub, e.Address).Fate(sub, &wire.ClaimFateRequest{
		Attempt:     attempt,
		Incarnation: e.Incarnation,
	})
	if err != nil {
		return 0, nil
	}
	return claims.Fate(m.Fate), resultFromWire(m.Result)
}

func (g *Guard) ownFate(attempt string) (claims.Fate, *claims.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Fate(attempt)
}

func (g *Guard) replay(r *claims.Result) Decision {
	g.metrics.replayed.Add(1)
	return Decision{Replay: r}
}

func (g *Guard) refused(detail string) Decision {
	g.metrics.refused.Add(1)
	return Decision{Refusal: outcome.Refuse(outcome.ReasonPlatform, http.StatusServiceUnavailable, retryAfter,
		detail+"; this request was not run, an earlier one with the key may have been: come back with the same key")}
}

func (g *Guard) reused() Decision {
	g.metrics.reused.Add(1)
	return Decision{Refusal: outcome.Refuse(outcome.ReasonKeyReused, http.StatusUnprocessableEntity, 0,
		"the key belongs to a request with another method, path or body; this one was not run")}
}

// duplicate answers a repeat while the first request may be running. It is
// not called not-run: what the caller asks for may be under way.
func (g *Guard) duplicate() Decision {
	g.metrics.duplicate.Add(1)
	return Decision{Refusal: outcome.Outcome{
		Kind:       outcome.Unknown,
		Reason:     outcome.ReasonDuplicate,
		Status:     http.StatusConflict,
		RetryAfter: retryAfter,
		Detail:     "a request with this key is running; come back with the same key for its result",
	}}
}

func (g *Guard) executorLost() Decision {
	g.metrics.duplicate.Add(1)
	return Decision{Refusal: outcome.Outcome{
		Kind:   outcome.Unknown,
		Reason: outcome.ReasonExecutorLost,
		Status: http.StatusConflict,
		Detail: "a request with this key may have run; the process that held it is gone",
	}}
}
