package router

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"expvar"
	"fmt"
	"hash"
	"net/http"
	"time"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/settings"
	state "goldcrestport/state/claims"
	"goldcrestport/transport/claims"
	"goldcrestport/transport/platform"
)

// headerReplayed marks an answer that is replayed from the record of a key.
const headerReplayed = "Goldcrest-Replayed"

// claimsConfig returns the claims configuration with the settings applied.
func claimsConfig(set settings.Claims) claims.Config {
	cfg := claims.DefaultConfig()
	cfg.Core.Expiry = set.Expiry.D()
	cfg.Core.Gap = set.Gap.D()
	cfg.Core.FinishDelay = set.FinishDelay.D()
	cfg.Wait = set.Wait.D()
	cfg.MaxAnswer = int(set.MaxAnswer.Bytes())
	return cfg
}

// newClaims returns the guard of claimed idempotency keys; it is not started.
func (r *Router) newClaims() *claims.Guard {
	self := claims.Peer{ID: r.set.ID, Address: r.set.Listen.Peers}
	g := claims.New(claimsConfig(r.set.Claims), self, r.store, r.pool)
	published := r.metrics.vars.Map("router_claims")
	g.Metrics().Do(func(v expvar.KeyValue) { published.Set(v.Key, v.Value) })
	return g
}

// serveCall serves the request. A non-idempotent request with an idempotency key
// must run at most once, so its key is claimed first.
func (r *Router) serveCall(ctx context.Context, w http.ResponseWriter, c *call) {
	if c.start.Idempotent || c.start.IdempotencyKey == "" {
		r.serve(ctx, w, c)
		return
	}
	claim := claims.Request{
		ID:      c.id,
		Team:    c.request.Team,
		Service: c.request.Service,
		Key:     c.start.IdempotencyKey,
		Method:  c.start.Method,
		Path:    c.start.Path,
		Body:    c.body,
	}
	c.relay = newRelay(w, c.id, r.metrics)
	d := r.claims.Acquire(ctx, claim)
	switch {
	case d.Replay != nil:
		r.replay(w, c, d.Replay)
	case !d.Run:
		r.finish(w, c, d.Refusal)
	default:
		r.serveClaimed(ctx, w, c, claim)
	}
}

// serveClaimed serves a request whose key is claimed. Once dispatched, it
// continues if its caller disconnects, because the caller may retry to get the
// result; it is cancelled when the router's stop bound passes.
func (r *Router) serveClaimed(ctx context.Context, w http.ResponseWriter, c *call, claim claims.Request) {
	run, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stop := context.AfterFunc(r.stopCtx, func() { cancel(errStopping) })
	defer stop()
	rec := newAnswerRecorder(w, int(r.set.Claims.MaxAnswer.Bytes()))
	c.runCtx = run
	c.onOutcome = func(o outcome.Outcome) { r.recordOutcome(claim, rec, o) }
	r.serve(ctx, rec, c)
}

// recordOutcome records the outcome of a claimed request. If the request was not
// run, its key is released before the caller gets the outcome.
func (r *Router) recordOutcome(claim claims.Request, rec *answerRecorder, o outcome.Outcome) {
	switch o.Kind {
	case outcome.NotRun:
		r.claims.Release(claim)
	case outcome.Completed:
		r.claims.Finish(claim, rec.result())
	default:
		r.claims.Finish(claim, state.Result{Outcome: string(o.Kind), Reason: string(o.Reason), Status: o.Status})
	}
}

// runContext returns the context of the run: that of the caller, ctx, unless the
// run outlives the caller.
func (c *call) runContext(ctx context.Context) context.Context {
	if c.runCtx == nil {
		return ctx
	}
	return c.runCtx
}

// flushTimeout bounds the wait at shutdown until the last results are recorded.
const flushTimeout = 5 * time.Second

// flushClaims waits until the results of this process are recorded.
func (r *Router) flushClaims() {
	ctx, cancel := context.WithTimeout(r.ctx, flushTimeout)
	defer cancel()
	if err := r.claims.Flush(ctx); err != nil {
		_ = r.log.Log("event", "results_not_recorded", "err", err)
	}
}

// replay writes the recorded result of the key to the caller.
func (r *Router) replay(w http.ResponseWriter, c *call, res *state.Result) {
	w.Header().Set(headerReplayed, "true")
	o := outcome.Outcome{
		Kind:   outcome.Kind(res.Outcome),
		Reason: outcome.Reason(res.Reason),
		Status: res.Status,
		Detail: "this is the recorded outcome of an earlier request with the key",
	}
	switch {
	case o.Kind != outcome.Completed:
		r.finish(w, c, o)
	case res.Kept:
		r.finish(w, c, o)
		w.Header().Set("Content-Type", res.MediaType)
		w.Header().Set("Goldcrest-Request-Id", c.id)
		w.Header().Set(outcome.Header, res.Outcome)
		w.WriteHeader(res.Status)
		// Ignore the error: the caller may be gone, and the result stays recorded.
		_, _ = w.Write(res.Body)
	default:
		r.finish(w, c, o)
		o.Reason = outcome.ReasonNotKept
		o.Status = http.StatusConflict
		o.Detail = fmt.Sprintf("an earlier request with the key completed with status %d; its answer of %d bytes was not kept (SHA-256 %s)",
			res.Status, res.Length, res.Digest)
		outcome.Write(w, c.id, o)
	}
}

// liveRouters returns the live routers in the instance list.
func liveRouters(list []platform.Instance) []claims.Peer {
	var out []claims.Peer
	for _, i := range list {
		if i.Role == platform.RoleRouter && i.State == platform.StateLive {
			out = append(out, claims.Peer{ID: i.ID, Address: i.Address})
		}
	}
	return out
}

// answerRecorder forwards an answer and keeps what the record of its key needs.
// It continues when the caller is gone.
type answerRecorder struct {
	http.ResponseWriter

	limit  int
	status int
	body   []byte
	length int64
	sum    hash.Hash
}

func newAnswerRecorder(w http.ResponseWriter, limit int) *answerRecorder {
	return &answerRecorder{ResponseWriter: w, limit: limit, status: http.StatusOK, sum: sha256.New()}
}

// Unwrap gives http.ResponseController access to the connection.
func (rec *answerRecorder) Unwrap() http.ResponseWriter { return rec.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (rec *answerRecorder) WriteHeader(status int) {
	rec.status = status
	rec.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It never fails: the answer is recorded
// even if the caller can no longer read it.
func (rec *answerRecorder) Write(p []byte) (int, error) {
	rec.length += int64(len(p))
	_, _ = rec.sum.Write(p)
	if rec.length <= int64(rec.limit) {
		rec.body = append(rec.body, p...)
	}
	_, _ = rec.ResponseWriter.Write(p)
	return len(p), nil
}

// FlushError lets http.ResponseController flush; like Write, it never fails.
func (rec *answerRecorder) FlushError() error {
	_ = http.NewResponseController(rec.ResponseWriter).Flush()
	return nil
}

// result returns the result to record for a completed answer.
func (rec *answerRecorder) result() state.Result {
	res := state.Result{
		Outcome:   string(outcome.Completed),
		Status:    rec.status,
		MediaType: rec.Header().Get("Content-Type"),
	}
	if rec.length <= int64(rec.limit) {
		res.Kept, res.Body = true, rec.body
		return res
	}
	res.Length = rec.length
	res.Digest = base64.RawURLEncoding.EncodeToString(rec.sum.Sum(nil))
	return res
}
