package router

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/outcome"
	"goldcrestport/state/config"
)

// Paths of the callers' interface.
const (
	chatPath    = "/v1/chat/completions"
	servicePath = "/services/"
)

// target is the service and path that a request is for. The service of a chat
// completion is in its body and is empty until the body is read.
type target struct {
	kind    config.ServiceKind
	service string
	path    string
}

// route determines the target of a request from its path.
func route(req *http.Request) (target, *outcome.Outcome) {
	path := req.URL.EscapedPath()
	switch {
	case req.Method == http.MethodConnect || req.Method == http.MethodTrace:
		return target{}, refuse(outcome.ReasonMethod, http.StatusMethodNotAllowed, "the method "+req.Method+" is not served")
	case path == chatPath && req.Method != http.MethodPost:
		return target{}, refuse(outcome.ReasonMethod, http.StatusMethodNotAllowed, "a chat completion is sent with POST")
	case path == chatPath:
		return target{kind: config.KindModel, path: chatPath}, nil
	case strings.HasPrefix(path, servicePath):
		return routePlain(req, strings.TrimPrefix(path, servicePath))
	default:
		return target{}, refuse(outcome.ReasonUnknownPath, http.StatusNotFound, "paths are "+chatPath+" and "+servicePath+"{service}/...")
	}
}

// routePlain splits the path after servicePath into the service and the path on
// that service.
func routePlain(req *http.Request, rest string) (target, *outcome.Outcome) {
	name, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(name)
	if err != nil || service == "" {
		return target{}, refuse(outcome.ReasonUnknownPath, http.StatusNotFound, "the path names no service")
	}
	if escapesRoot(rest) {
		return target{}, refuse(outcome.ReasonBadRequest, http.StatusBadRequest, "the path must not hold . or .. segments or control characters")
	}
	path = "/" + path
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return target{kind: config.KindPlain, service: service, path: path}, nil
}

// escapesRoot reports whether a path, once unescaped, has segments that could
// escape the service's root, or control characters.
func escapesRoot(escaped string) bool {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return true
	}
	for part := range strings.FieldsFuncSeq(path, func(c rune) bool { return c == '/' || c == '\\' }) {
		if part == "." || part == ".." {
			return true
		}
	}
	return strings.ContainsFunc(path, func(c rune) bool { return c < ' ' || c == 0x7f })
}

// modelOf returns the model of a chat completion, which is the service's name.
func modelOf(body []byte) (string, error) {
	var chat struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &chat); err != nil {
		return "", errors.Wrap(err, "the body is not a JSON chat completion")
	}
	if chat.Model == "" {
		return "", errors.New("the body names no model")
	}
	return chat.Model, nil
}

// authorize looks up the target's service and checks that the team may use it.
func authorize(doc *config.Document, team config.Team, to target) (config.Service, *outcome.Outcome) {
	service, ok := doc.Services[to.service]
	switch {
	case !ok:
		return service, refuse(outcome.ReasonUnknownService, http.StatusNotFound, "no such service: "+to.service)
	case !team.Reaches(to.service):
		return service, refuse(outcome.ReasonForbidden, http.StatusForbidden, "the team may not use service "+to.service)
	case team.Share <= 0:
		return service, refuse(outcome.ReasonForbidden, http.StatusForbidden, "the share of the team is zero")
	case service.Kind != to.kind && to.kind == config.KindModel:
		return service, refuse(outcome.ReasonBadRequest, http.StatusBadRequest, to.service+" is a plain service, called under "+servicePath)
	case service.Kind != to.kind:
		return service, refuse(outcome.ReasonBadRequest, http.StatusBadRequest, to.service+" is a model, called under "+chatPath)
	default:
		return service, nil
	}
}

// refuse returns a refusal without a Retry-After hint.
func refuse(reason outcome.Reason, status int, detail string) *outcome.Outcome {
	o := outcome.Refuse(reason, status, 0, detail)
	return &o
}
