package router

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/prefix"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/callerbody"
	"goldcrestport/transport/callerconn"
)

// retryAfterRefusal is the Retry-After hint for refusals whose cause is likely
// to be temporary.
const retryAfterRefusal = time.Second

// bearerPrefix is the scheme prefix of an Authorization header.
const bearerPrefix = "Bearer "

// callerHandler serves the callers' listener.
func (r *Router) callerHandler() http.Handler { return http.HandlerFunc(r.handleRequest) }

// handleRequest serves one request until it has its one outcome.
func (r *Router) handleRequest(w http.ResponseWriter, req *http.Request) {
	t := r.newObserver(req)
	w = newDeadlineWriter(w, r.set.Limits.WriteTimeout.D())
	w.Header().Set(headerRequestID, t.id)
	body := requestBody{budget: r.bodies, conn: callerconn.Of(req.Context())}
	defer body.release()
	c, refused := r.admit(t, &body, w, req)
	if refused != nil {
		t.ended(*refused)
		writeRefusal(w, t.id, *refused)
		r.discardBody(w, req, *refused)
		return
	}
	t.queued()
	r.serveCall(t.ctx, w, c)
}

// discardBody reads on a body that was refused for its memory, which costs none.
func (r *Router) discardBody(w http.ResponseWriter, req *http.Request, o outcome.Outcome) {
	if o.Reason != outcome.ReasonBodiesFull {
		return
	}
	until := time.Now().Add(r.set.Limits.BodyTimeout.D())
	callerbody.Discard(w, req.Body, r.set.Limits.Body.Bytes(), until, func() bool { return r.refusing.Load() || isOverLimit(req) })
}

// writeRefusal writes a refusal with the headers that its status or reason
// requires.
func writeRefusal(w http.ResponseWriter, id string, o outcome.Outcome) {
	switch o.Status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	case http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		w.Header().Set("Connection", "close")
	}
	if o.Reason == outcome.ReasonConnections || o.Reason == outcome.ReasonBodiesFull {
		w.Header().Set("Connection", "close")
	}
	outcome.Write(w, id, o)
}

// admit validates the request, cheapest checks first, and reads its body.
func (r *Router) admit(t *requestObserver, body *requestBody, w http.ResponseWriter, req *http.Request) (*call, *outcome.Outcome) {
	doc := r.doc.Load()
	if refused := r.precheck(doc, req); refused != nil {
		return nil, refused
	}
	to, refused := route(req)
	if refused != nil {
		return nil, refused
	}
	name, team, ok := r.tokens.teamOf(doc, req)
	if !ok {
		return nil, refuse(outcome.ReasonUnauthorized, http.StatusUnauthorized, "no team has this bearer token")
	}
	t.team, body.team = name, name
	opts, err := readOptions(req.Header, r.set.Limits.Deadline.D())
	if err != nil {
		return nil, refuse(outcome.ReasonBadHeader, http.StatusBadRequest, err.Error())
	}
	limit := r.set.Limits.Body.Bytes()
	if to.kind == config.KindPlain {
		service, refused := authorize(doc, team, to)
		if refused != nil {
			return nil, refused
		}
		limit = bodyLimit(service, limit)
	}
	if refused := r.readBody(body, w, req, limit); refused != nil {
		return nil, refused
	}
	if to.kind == config.KindModel {
		if to.service, err = modelOf(body.data); err != nil {
			return nil, refuse(outcome.ReasonBadRequest, http.StatusBadRequest, err.Error())
		}
	}
	service, refused := authorize(doc, team, to)
	if refused != nil {
		return nil, refused
	}
	if int64(len(body.data)) > bodyLimit(service, limit) {
		return nil, r.bodyRefusal(callerbody.ErrTooLarge, req.ContentLength)
	}
	t.service = to.service
	return r.newCall(t, team, service, to, opts, req, body.data), nil
}

// precheck refuses requests for reasons that need neither their route nor their
// team.
func (r *Router) precheck(doc *config.Document, req *http.Request) *outcome.Outcome {
	var o outcome.Outcome
	switch {
	case isOverLimit(req):
		o = outcome.Refuse(outcome.ReasonConnections, http.StatusServiceUnavailable, retryAfterRefusal, "too many connections are open")
	case r.refusing.Load():
		o = outcome.Refuse(outcome.ReasonLeaving, http.StatusServiceUnavailable, retryAfterRefusal, "this router is leaving")
	case doc == nil:
		o = outcome.Refuse(outcome.ReasonNoConfig, http.StatusServiceUnavailable, retryAfterRefusal, "no configuration yet")
	case !headersWithinLimits(req.Header, r.set.Limits):
		return refuse(outcome.ReasonHeadersLarge, http.StatusRequestHeaderFieldsTooLarge, "the headers are too many or too large")
	default:
		return nil
	}
	return &o
}

// tokens holds the token index of the configuration in force.
type tokens struct{ index atomic.Pointer[config.Tokens] }

// teamOf looks up the team of the request's bearer token. The index is built
// once per configuration revision.
func (t *tokens) teamOf(doc *config.Document, req *http.Request) (string, config.Team, bool) {
	auth := req.Header.Get("Authorization")
	if len(auth) < len(bearerPrefix) || !strings.EqualFold(auth[:len(bearerPrefix)], bearerPrefix) {
		return "", config.Team{}, false
	}
	index := t.index.Load()
	if index == nil || index.Document() != doc {
		index = config.NewTokens(doc)
		t.index.Store(index)
	}
	return index.Team(config.TokenDigest(auth[len(bearerPrefix):]))
}

// bodyLimit returns the maximum size of one body for the service.
func bodyLimit(service config.Service, limit int64) int64 {
	if service.MaxBody > 0 {
		return min(service.MaxBody, limit)
	}
	return limit
}

// readBody reads the body within its memory and time limits.
func (r *Router) readBody(body *requestBody, w http.ResponseWriter, req *http.Request, limit int64) *outcome.Outcome {
	if !hasBody(req) {
		return nil
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(r.set.Limits.BodyTimeout.D()))
	if err := body.read(req, limit); err != nil {
		body.release()
		return r.bodyRefusal(err, req.ContentLength)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return nil
}

// bodyRefusal returns the refusal of a body of the declared length, -1 if unknown, that did not come or may not.
func (r *Router) bodyRefusal(err error, length int64) *outcome.Outcome {
	switch {
	case errors.Is(err, callerbody.ErrTooLarge):
		return refuse(outcome.ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, callerbody.ErrFull):
		o := outcome.Refuse(outcome.ReasonBodiesFull, http.StatusServiceUnavailable, r.bodies.RetryAfter(length), "the memory for request bodies is used up")
		return &o
	case isTimeout(err):
		o := outcome.Refuse(outcome.ReasonBodyTimeout, http.StatusRequestTimeout, retryAfterRefusal, "the body came too slowly")
		return &o
	default:
		return refuse(outcome.ReasonBadRequest, http.StatusBadRequest, "the body was cut short")
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// newCall builds the call for an admitted request: what the dispatcher needs
// and the start message for the sidecar.
func (r *Router) newCall(t *requestObserver, team config.Team, service config.Service, to target, opts options, req *http.Request, body []byte) *call {
	idempotent := !opts.nonIdempotent && !listedNonIdempotent(service, to.path)
	return &call{
		id:        t.id,
		observer:  t,
		body:      body,
		started:   t.started,
		decisions: make(chan decision, decisionQueueSize),
		request: dispatch.Request{
			ID:             t.id,
			Service:        to.service,
			Team:           t.team,
			Bytes:          int64(len(body)),
			Estimate:       opts.estimate,
			Deadline:       t.started.Add(opts.deadline),
			Idempotent:     idempotent,
			Prefix:         prefix.Of(body),
			MaxQueued:      team.MaxQueued,
			MaxQueuedBytes: team.MaxQueuedBytes,
		},
		start: &wire.RunStart{
			Service:        to.service,
			Team:           t.team,
			Router:         r.set.ID,
			Method:         req.Method,
			Path:           to.path,
			Headers:        forwardedHeaders(req.Header),
			Idempotent:     idempotent,
			IdempotencyKey: opts.key,
			Estimate:       opts.estimate,
			DeadlineMs:     opts.deadline.Milliseconds(),
		},
	}
}

// listedNonIdempotent reports whether the configuration lists the path as
// non-idempotent.
func listedNonIdempotent(service config.Service, path string) bool {
	plain, _, _ := strings.Cut(path, "?")
	// Normalise the path as backend servers do, so that escapes or repeated
	// slashes cannot bypass the list.
	if unescaped, err := url.PathUnescape(plain); err == nil {
		plain = unescaped
	}
	for strings.Contains(plain, "//") {
		plain = strings.ReplaceAll(plain, "//", "/")
	}
	for _, prefix := range service.NonIdempotent {
		if strings.HasPrefix(plain, prefix) {
			return true
		}
	}
	return false
}
