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

// problem is an error that is answered as a problem document.
type problem struct{ operator.Problem }

// Error implements error.
func (p *problem) Error() string { return string(p.Reason) + ": " + p.Detail }

// failure returns a problem after which nothing was changed.
func failure(status int, reason outcome.Reason, detail string) *problem {
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

// unreachable tells that the platform could not be read.
func unreachable(err error) *problem {
	return failure(http.StatusServiceUnavailable, outcome.ReasonPlatform,
		"the platform's key-value service can't be read now, nothing was changed: "+err.Error())
}

// badIntent carries all errors of an intent.
func badIntent(err error) error {
	var found intent.Errors
	if !errors.As(err, &found) {
		return err
	}
	p := failure(http.StatusUnprocessableEntity, operator.ReasonBadIntent,
		strconv.Itoa(len(found))+" errors in the intent")
	p.Errors = found
	return p
}

// asProblem turns any error into a problem.
func asProblem(err error) *problem {
	var p *problem
	if errors.As(err, &p) {
		return p
	}
	return failure(http.StatusInternalServerError, outcome.ReasonInternal, err.Error())
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
	// The operator may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(p.Problem)
}
