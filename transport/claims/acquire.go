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

// Decision is the result of claiming a request's key: run the request, replay
// a recorded result, or refuse it.
type Decision struct {
	// Run reports whether the request may be dispatched, once. The caller must
	// then call Finish or Release.
	Run bool
	// Replay is the result recorded for the key, or nil.
	Replay *claims.Result
	// Refusal is the outcome returned to the caller if Run is false and Replay
	// is nil.
	Refusal outcome.Outcome
}

// retryAfter is the retry delay suggested to a caller whose key cannot be
// claimed now.
const retryAfter = time.Second

// maxRounds bounds the number of acquire calls of one request. A request calls
// again after it takes over a claim whose attempt was not run, and after an
// answer that may be stale; the bound leaves room for repetitions.
const maxRounds = 4

// Acquire claims the key of a request. If the Decision does not allow the
// request to run, this process never dispatches it, even if its claim is
// written later.
func (g *Guard) Acquire(ctx context.Context, r Request) Decision {
	defer g.metrics.observeWait(time.Now())
	if !g.begin(r.ID) {
		return g.refused("too many non-idempotent requests are held")
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Wait)
	defer cancel()
	d := g.acquire(ctx, r)
	if !d.Run {
		// From here on this process reports the attempt as not run.
		g.forget(r.ID)
	}
	return d
}

// acquire repeats the call until the answer is conclusive, at most maxRounds
// times.
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
			d, again := g.resolveHeld(ctx, a.Record, &c)
			if !again {
				return d
			}
		case claim.Full:
			return g.refused("the store of keys is full")
		default:
			// The claim may still be written. The attempt is forgotten first,
			// so that this process reports it as not run before it requests
			// the release.
			g.forget(r.ID)
			g.release(r)
			return g.refused("the key could not be claimed in time")
		}
	}
	return g.duplicate()
}

// resolveHeld queries the executor of an existing claim for the fate of its attempt.
// It returns true if the call should be repeated; c is then updated for the
// repetition.
func (g *Guard) resolveHeld(ctx context.Context, held claims.Record, c *claim.Call) (Decision, bool) {
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

// fate queries the executor of an attempt; it returns 0 if the executor does
// not answer.
func (g *Guard) fate(ctx context.Context, e claims.Executor, attempt string) (claims.Fate, *claims.Result) {
	if e.Incarnation == g.executor.Incarnation {
		return g.localFate(attempt)
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

func (g *Guard) localFate(attempt string) (claims.Fate, *claims.Result) {
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

// duplicate returns the decision for a repeated request while the first one may
// be running. Its outcome is Unknown rather than NotRun, because the work that
// the caller asked for may be in progress.
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
