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

// headerReplayed marks an answer that was recorded before.
const headerReplayed = "Goldcrest-Replayed"

// claimsConfig returns the bounds of the claims with the settings applied.
func claimsConfig(set settings.Claims) claims.Config {
	cfg := claims.DefaultConfig()
	cfg.Core.Expiry = set.Expiry.D()
	cfg.Core.Gap = set.Gap.D()
	cfg.Core.FinishDelay = set.FinishDelay.D()
	cfg.Wait = set.Wait.D()
	cfg.MaxAnswer = int(set.MaxAnswer.Bytes())
	return cfg
}

// newClaims returns the process's claims; they are not started.
func (r *Router) newClaims() *claims.Guard {
	self := claims.Peer{ID: r.set.ID, Address: r.set.Listen.Peers}
	g := claims.New(claimsConfig(r.set.Claims), self, r.store, r.pool)
	published := r.metrics.vars.Map("router_claims")
	g.Metrics().Do(func(v expvar.KeyValue) { published.Set(v.Key, v.Value) })
	return g
}

// serveCall serves the request; if it must run at most once by a caller's key,
// the key is claimed first.
func (r *Router) serveCall(ctx context.Context, w http.ResponseWriter, c *call) {
	if c.start.Idempotent || c.start.IdempotencyKey == "" {
		r.serve(ctx, w, c)
		return
	}
	once := claims.Request{
		ID:      c.id,
		Team:    c.request.Team,
		Service: c.request.Service,
		Key:     c.start.IdempotencyKey,
		Method:  c.start.Method,
		Path:    c.start.Path,
		Body:    c.body,
	}
	c.relay = newRelay(w, c.id, r.metrics)
	d := r.claims.Acquire(ctx, once)
	switch {
	case d.Replay != nil:
		r.replay(w, c, d.Replay)
	case !d.Run:
		r.finish(w, c, d.Refusal)
	default:
		r.runOnce(ctx, w, c, once)
	}
}

// runOnce serves a request whose key is claimed. Once it is dispatched it goes
// on when its caller is gone, since the caller may come back for the result;
// it ends with the router's stop bound.
func (r *Router) runOnce(ctx context.Context, w http.ResponseWriter, c *call, once claims.Request) {
	run, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stop := context.AfterFunc(r.ending, func() { cancel(errLeaving) })
	defer stop()
	rec := newRecorder(w, int(r.set.Claims.MaxAnswer.Bytes()))
	c.run = run
	c.settle = func(o outcome.Outcome) { r.conclude(once, rec, o) }
	r.serve(ctx, rec, c)
}

// conclude records how the request ended. A request that was not run gives its
// key up before the caller is told.
func (r *Router) conclude(once claims.Request, rec *recorder, o outcome.Outcome) {
	switch o.Kind {
	case outcome.NotRun:
		r.claims.Release(once)
	case outcome.Completed:
		r.claims.Finish(once, rec.result())
	default:
		r.claims.Finish(once, state.Result{Outcome: string(o.Kind), Reason: string(o.Reason), Status: o.Status})
	}
}

// runContext is the context of a run.
func (c *call) runContext(ctx context.Context) context.Context {
	if c.run == nil {
		return ctx
	}
	return c.run
}

// flushTimeout bounds the wait for the last results to be recorded at a stop.
const flushTimeout = 5 * time.Second

// flushClaims waits until the results of this process are recorded.
func (r *Router) flushClaims() {
	ctx, cancel := context.WithTimeout(r.ctx, flushTimeout)
	defer cancel()
	if err := r.claims.Flush(ctx); err != nil {
		_ = r.log.Log("event", "results_not_recorded", "err", err)
	}
}

// replay answers with the recorded result of the key.
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
		// The caller may be gone; there is nobody else to tell.
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

// liveRouters returns the routers of the instance list.
func liveRouters(list []platform.Instance) []claims.Peer {
	var out []claims.Peer
	for _, i := range list {
		if i.Role == platform.RoleRouter && i.State == platform.StateLive {
			out = append(out, claims.Peer{ID: i.ID, Address: i.Address})
		}
	}
	return out
}

// recorder passes an answer on and keeps what the record of its key needs.
// It goes on when the caller is gone.
type recorder struct {
	http.ResponseWriter

	limit  int
	status int
	body   []byte
	length int64
	sum    hash.Hash
}

func newRecorder(w http.ResponseWriter, limit int) *recorder {
	return &recorder{ResponseWriter: w, limit: limit, status: http.StatusOK, sum: sha256.New()}
}

// Unwrap lets http.ResponseController reach the connection.
func (rec *recorder) Unwrap() http.ResponseWriter { return rec.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (rec *recorder) WriteHeader(status int) {
	rec.status = status
	rec.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It never fails: the answer is
// recorded whether or not the caller can still read it.
func (rec *recorder) Write(p []byte) (int, error) {
	rec.length += int64(len(p))
	_, _ = rec.sum.Write(p)
	if rec.length <= int64(rec.limit) {
		rec.body = append(rec.body, p...)
	}
	_, _ = rec.ResponseWriter.Write(p)
	return len(p), nil
}

// FlushError lets http.ResponseController flush; like Write it never fails.
func (rec *recorder) FlushError() error {
	_ = http.NewResponseController(rec.ResponseWriter).Flush()
	return nil
}

// result returns the record of a completed answer.
func (rec *recorder) result() state.Result {
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
