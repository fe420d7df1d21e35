package router

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/prefix"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
)

// Paths towards callers.
const (
	chatPath    = "/v1/chat/completions"
	servicePath = "/services/"
)

// Request headers that the router reads.
const (
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "Goldcrest-Non-Idempotent"
	headerDeadline      = "Goldcrest-Deadline"
)

// callerHandler serves the callers' listener.
func (r *Router) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, r.serveChat)
	mux.HandleFunc(servicePath+"{service}/{path...}", r.servePlain)
	return mux
}

// target is where a request goes.
type target struct {
	service string
	path    string
}

// serveChat serves a chat completion; the model names the service.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	r.accept(w, req, func(body []byte) (target, error) {
		var chat struct {
			Model string `json:"model"`
		}
		if err := json.Unmarshal(body, &chat); err != nil {
			return target{}, errors.Wrap(err, "body is not JSON")
		}
		return target{service: chat.Model, path: chatPath}, nil
	})
}

// servePlain serves a call of a plain service.
func (r *Router) servePlain(w http.ResponseWriter, req *http.Request) {
	r.accept(w, req, func([]byte) (target, error) {
		path := strings.TrimPrefix(req.URL.EscapedPath(), servicePath+req.PathValue("service"))
		if req.URL.RawQuery != "" {
			path += "?" + req.URL.RawQuery
		}
		return target{service: req.PathValue("service"), path: path}, nil
	})
}

// accept checks the request, reads its body and serves it.
func (r *Router) accept(w http.ResponseWriter, req *http.Request, find func([]byte) (target, error)) {
	id := uuid.NewString()
	doc := r.doc.Load()
	refuse := func(reason outcome.Reason, status int, after time.Duration, detail string) {
		o := outcome.Refuse(reason, status, after, detail)
		r.metrics.ended(o, 0)
		outcome.Write(w, id, o)
	}
	if doc == nil {
		refuse(outcome.ReasonNoConfig, http.StatusServiceUnavailable, time.Second, "no configuration yet")
		return
	}
	if r.leaving.Load() {
		refuse(outcome.ReasonLeaving, http.StatusServiceUnavailable, time.Second, "this router is leaving")
		return
	}
	name, team, ok := authenticate(doc, req)
	if !ok {
		refuse(outcome.ReasonUnauthorized, http.StatusUnauthorized, 0, "no team has this bearer token")
		return
	}
	body, err := r.readBody(w, req)
	if err != nil {
		o := bodyRefusal(err)
		r.metrics.ended(o, 0)
		outcome.Write(w, id, o)
		return
	}
	to, err := find(body)
	if err != nil {
		refuse(outcome.ReasonBadRequest, http.StatusBadRequest, 0, err.Error())
		return
	}
	service, ok := doc.Services[to.service]
	if !ok {
		refuse(outcome.ReasonUnknownService, http.StatusNotFound, 0, "no such service: "+to.service)
		return
	}
	if !team.Reaches(to.service) {
		refuse(outcome.ReasonForbidden, http.StatusForbidden, 0, "the team may not use service "+to.service)
		return
	}
	if team.Share <= 0 {
		refuse(outcome.ReasonForbidden, http.StatusForbidden, 0, "the share of the team is zero")
		return
	}
	if service.MaxBody > 0 && int64(len(body)) > service.MaxBody {
		refuse(outcome.ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, "the body is larger than service "+to.service+" takes")
		return
	}
	c := r.newCall(id, name, team, service, to, req, body)
	r.serve(req.Context(), w, c)
}

// authenticate finds the team of the bearer token.
func authenticate(doc *config.Document, req *http.Request) (string, config.Team, bool) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", config.Team{}, false
	}
	return doc.TeamOf(config.TokenDigest(token))
}

func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	limits := r.set.Limits
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(limits.BodyTimeout.D()))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limits.Body.Bytes()))
	if err == nil {
		_ = ctl.SetReadDeadline(time.Time{})
	}
	return body, err
}

func bodyRefusal(err error) outcome.Outcome {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return outcome.Refuse(outcome.ReasonTooLarge, http.StatusRequestEntityTooLarge, 0, "the body is too large")
	case isTimeout(err):
		return outcome.Refuse(outcome.ReasonBodyTimeout, http.StatusRequestTimeout, time.Second, "the body came too slowly")
	default:
		return outcome.Refuse(outcome.ReasonBadRequest, http.StatusBadRequest, 0, "the body was cut short")
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func (r *Router) newCall(id, name string, team config.Team, service config.Service, to target, req *http.Request, body []byte) *call {
	now := time.Now()
	deadline := now.Add(r.deadline(req))
	key := req.Header.Get(headerKey)
	idempotent := !nonIdempotent(service, to.path, req)
	return &call{
		id:        id,
		body:      body,
		began:     now,
		decisions: make(chan decision, decisionRing),
		request: dispatch.Request{
			ID:             id,
			Service:        to.service,
			Team:           name,
			Bytes:          int64(len(body)),
			Estimate:       1,
			Deadline:       deadline,
			Idempotent:     idempotent,
			Prefix:         prefix.Of(body),
			MaxQueued:      team.MaxQueued,
			MaxQueuedBytes: team.MaxQueuedBytes,
		},
		start: &wire.RunStart{
			Service:        to.service,
			Team:           name,
			Router:         r.set.ID,
			Method:         req.Method,
			Path:           to.path,
			Headers:        passedHeaders(req.Header),
			Idempotent:     idempotent,
			IdempotencyKey: key,
			Estimate:       1,
			DeadlineMs:     deadline.Sub(now).Milliseconds(),
			Traceparent:    req.Header.Get("Traceparent"),
		},
	}
}

func (r *Router) deadline(req *http.Request) time.Duration {
	limit := r.set.Limits.Deadline.D()
	d, err := time.ParseDuration(req.Header.Get(headerDeadline))
	if err != nil || d <= 0 || d > limit {
		return limit
	}
	return d
}

func nonIdempotent(service config.Service, path string, req *http.Request) bool {
	if req.Header.Get(headerNonIdempotent) == "true" {
		return true
	}
	for _, prefix := range service.NonIdempotent {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// ownHeaders are read by the router and not passed on.
var ownHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authorization": true, "Content-Length": true, "Traceparent": true,
	"X-Request-Id": true, "X-Team": true, headerKey: true,
}

func passedHeaders(h http.Header) []*wire.Header {
	var out []*wire.Header
	for name, values := range h {
		if ownHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}
