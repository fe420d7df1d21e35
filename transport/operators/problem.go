package operators

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
)

// problem is an error that is sent as a problem document.
type problem struct{ operator.Problem }

// Error implements error.
func (p *problem) Error() string { return string(p.Reason) + ": " + p.Detail }

// newProblem returns a problem for a call that changed nothing.
func newProblem(status int, reason outcome.Reason, detail string) *problem {
	p := &problem{}
	p.Type = "urn:goldcrestport:problem:" + string(reason)
	p.Title = http.StatusText(status)
	p.Status = status
	p.Detail = detail
	p.Outcome = outcome.NotRun
	p.Reason = reason
	if status == http.StatusServiceUnavailable {
		p.RetryAfterMS = retryAfter.Milliseconds()
	}
	return p
}

// platformUnreachable returns a problem for a failed read of the platform.
func platformUnreachable(err error) *problem {
	return newProblem(http.StatusServiceUnavailable, outcome.ReasonPlatform,
		"the platform's key-value service can't be read now, nothing was changed: "+err.Error())
}

// intentProblem returns a problem with all validation errors of an intent.
func intentProblem(err error) error {
	var intentErrors intent.Errors
	if !errors.As(err, &intentErrors) {
		return err
	}
	p := newProblem(http.StatusUnprocessableEntity, operator.ReasonBadIntent,
		strconv.Itoa(len(intentErrors))+" errors in the intent")
	p.Errors = intentErrors
	return p
}

// asProblem converts any error into a problem.
func asProblem(err error) *problem {
	var p *problem
	if errors.As(err, &p) {
		return p
	}
	return newProblem(http.StatusInternalServerError, outcome.ReasonInternal, err.Error())
}

func writeProblem(w http.ResponseWriter, p *problem) {
	h := w.Header()
	h.Set("Content-Type", outcome.ContentType)
	h.Set(outcome.Header, string(p.Outcome))
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", outcome.RetryAfterSeconds(retryAfter))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(p.Problem)
}
