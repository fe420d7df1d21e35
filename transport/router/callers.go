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
)

// comeBack is the hint for refusals that a moment may mend.
const comeBack = time.Second

// bearer begins the value of an Authorization header.
const bearer = "Bearer "

// callerHandler serves the callers' listener.
func (r *Router) callerHandler() http.Handler { return http.HandlerFunc(r.receive) }

// receive brings one request to its one outcome.
func (r *Router) receive(w http.ResponseWriter, req *http.Request) {
	t := r.newTrail(req)
	w = newPatientWriter(w, r.set.Limits.WriteTimeout.D())
	w.Header().Set(headerRequestID, t.id)
	held := heldBody{from: r.bodies}
	defer held.release()
	c, refused := r.admit(t, &held, w, req)
	if refused != nil {
		t.ended(*refused)
		writeRefusal(w, t.id, *refused)
		return
	}
	t.queued()
	r.serveCall(t.ctx, w, c)
}

// writeRefusal writes a refusal with the headers that go with its status.
func writeRefusal(w http.ResponseWriter, id string, o outcome.Outcome) {
	switch o.Status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	case http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		w.Header().Set("Connection", "close")
	}
	if o.Reason == outcome.ReasonConnections {
		w.Header().Set("Connection", "close")
	}
	outcome.Write(w, id, o)
}

// admit checks the request in the order of what a check costs, and reads its
// body.
func (r *Router) admit(t *trail, held *heldBody, w http.ResponseWriter, req *http.Request) (*call, *outcome.Outcome) {
	doc := r.doc.Load()
	if refused := r.accepts(doc, req); refused != nil {
		return nil, refused
	}
	to, refused := route(req)
	if refused != nil {
		return nil, refused
	}
	name, team, ok := r.tokens.of(doc, req)
	if !ok {
		return nil, refuse(outcome.ReasonUnauthorized, http.StatusUnauthorized, "no team has this bearer token")
	}
	t.team, held.team = name, name
	opts, err := readOptions(req.Header, r.set.Limits.Deadline.D())
	if err != nil {
		return nil, refuse(outcome.ReasonBadHeader, http.StatusBadRequest, err.Error())
	}
	limit := r.set.Limits.Body.Bytes()
	if to.kind == config.KindPlain {
		service, refused := allowed(doc, team, to)
		if refused != nil {
			return nil, refused
		}
		limit = bodyLimit(service, limit)
	}
	if refused := r.readBody(held, w, req, limit); refused != nil {
		return nil, refused
	}
	if to.kind == config.KindModel {
		if to.service, err = modelOf(held.data); err != nil {
			return nil, refuse(outcome.ReasonBadRequest, http.StatusBadRequest, err.Error())
		}
	}
	service, refused := allowed(doc, team, to)
	if refused != nil {
		return nil, refused
	}
	if int64(len(held.data)) > bodyLimit(service, limit) {
		return nil, bodyRefusal(errBodyTooLarge)
	}
	t.service = to.service
	return r.newCall(t, team, service, to, opts, req, held.data), nil
}

// accepts refuses what no request of this kind may pass.
func (r *Router) accepts(doc *config.Document, req *http.Request) *outcome.Outcome {
	var o outcome.Outcome
	switch {
	case isOver(req):
		o = outcome.Refuse(outcome.ReasonConnections, http.StatusServiceUnavailable, comeBack, "too many connections are open")
	case r.leaving.Load():
		o = outcome.Refuse(outcome.ReasonLeaving, http.StatusServiceUnavailable, comeBack, "this router is leaving")
	case doc == nil:
		o = outcome.Refuse(outcome.ReasonNoConfig, http.StatusServiceUnavailable, comeBack, "no configuration yet")
	case !headersFit(req.Header, r.set.Limits):
		return refuse(outcome.ReasonHeadersLarge, http.StatusRequestHeaderFieldsTooLarge, "the headers are too many or too large")
	default:
		return nil
	}
	return &o
}

// tokens holds the token index of the configuration in force.
type tokens struct{ index atomic.Pointer[config.Tokens] }

// of finds the team of the request's bearer token. The index is made once for
// each revision.
func (t *tokens) of(doc *config.Document, req *http.Request) (string, config.Team, bool) {
	auth := req.Header.Get("Authorization")
	if len(auth) < len(bearer) || !strings.EqualFold(auth[:len(bearer)], bearer) {
		return "", config.Team{}, false
	}
	index := t.index.Load()
	if index == nil || index.Document() != doc {
		index = config.NewTokens(doc)
		t.index.Store(index)
	}
	return index.Team(config.TokenDigest(auth[len(bearer):]))
}

// bodyLimit returns the bound of one body for the service.
func bodyLimit(service config.Service, limit int64) int64 {
	if service.MaxBody > 0 {
		return min(service.MaxBody, limit)
	}
	return limit
}

// readBody reads the body within its bounds of memory and time.
func (r *Router) readBody(held *heldBody, w http.ResponseWriter, req *http.Request, limit int64) *outcome.Outcome {
	if !hasBody(req) {
		return nil
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(r.set.Limits.BodyTimeout.D()))
	if err := held.read(req.Body, req.ContentLength, limit); err != nil {
		return bodyRefusal(err)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return nil
}

func bodyRefusal(err error) *outcome.Outcome {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return refuse(outcome.ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errBodiesFull):
		o := outcome.Refuse(outcome.ReasonBodiesFull, http.StatusServiceUnavailable, comeBack, "the memory for request bodies is used up")
		return &o
	case isTimeout(err):
		o := outcome.Refuse(outcome.ReasonBodyTimeout, http.StatusRequestTimeout, comeBack, "the body came too slowly")
		return &o
	default:
		return refuse(outcome.ReasonBadRequest, http.StatusBadRequest, "the body was cut short")
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// newCall returns the admitted request as the dispatcher and sidecars see it.
func (r *Router) newCall(t *trail, team config.Team, service config.Service, to target, opts options, req *http.Request, body []byte) *call {
	idempotent := !opts.nonIdempotent && !listedNonIdempotent(service, to.path)
	return &call{
		id:        t.id,
		trail:     t,
		body:      body,
		began:     t.began,
		decisions: make(chan decision, decisionRing),
		request: dispatch.Request{
			ID:             t.id,
			Service:        to.service,
			Team:           t.team,
			Bytes:          int64(len(body)),
			Estimate:       opts.estimate,
			Deadline:       t.began.Add(opts.deadline),
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
			Headers:        passedHeaders(req.Header),
			Idempotent:     idempotent,
			IdempotencyKey: opts.key,
			Estimate:       opts.estimate,
			DeadlineMs:     opts.deadline.Milliseconds(),
		},
	}
}

// listedNonIdempotent reports whether the configuration marks the path.
func listedNonIdempotent(service config.Service, path string) bool {
	plain, _, _ := strings.Cut(path, "?")
	// The path as the backend server reads it: escapes and repeated slashes
	// must not hide that a call is listed.
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
