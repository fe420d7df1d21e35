// Package outcome defines the outcomes of a request and writes them as HTTP
// problem details (RFC 9457).
//
// It is used by the routers towards callers and by the sidecars towards
// routers. Every request ends in exactly one outcome.
package outcome

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind is the final outcome of a request.
type Kind string

const (
	// Completed means that the caller received the complete answer.
	Completed Kind = "completed"
	// NotRun means that the request is known not to have run.
	NotRun Kind = "not-run"
	// Failed means that the request ran and failed.
	Failed Kind = "failed"
	// Unknown means that the request may have run.
	Unknown Kind = "unknown"
)

// Header names the response header that carries the Kind.
const Header = "Goldcrest-Outcome"

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Reason is a stable identifier of why a request ended as it did.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonForbidden      Reason = "service-not-allowed"
	ReasonUnknownService Reason = "unknown-service"
	ReasonBadRequest     Reason = "bad-request"
	ReasonTooLarge       Reason = "body-too-large"
	ReasonBodyTimeout    Reason = "body-timeout"
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline"
	ReasonNoBackend      Reason = "no-backend-server"
	ReasonNoConfig       Reason = "no-configuration"
	ReasonLeaving        Reason = "leaving"
	ReasonRetryBudget    Reason = "retry-budget"
	ReasonLinkLost       Reason = "link-lost"
	ReasonAnswerLost     Reason = "answer-lost"
	ReasonBackend        Reason = "backend-server"
	ReasonPlatform       Reason = "platform-unavailable"
	ReasonDuplicate      Reason = "duplicate"
	ReasonKeyReused      Reason = "key-reused"
	ReasonExecutorLost   Reason = "executor-lost"
	ReasonNotKept        Reason = "answer-not-kept"
	ReasonCancelled      Reason = "cancelled"
	ReasonInternal       Reason = "internal"
	ReasonUnknownPath    Reason = "unknown-path"
	ReasonMethod         Reason = "method-not-allowed"
	ReasonBadHeader      Reason = "bad-header"
	ReasonHeadersLarge   Reason = "headers-too-large"
	ReasonConnections    Reason = "too-many-connections"
	ReasonBodiesFull     Reason = "bodies-full"
	ReasonCrashes        Reason = "crashes-backend-servers"
	ReasonSuspect        Reason = "suspect-at-work"
	ReasonBackoff        Reason = "backend-servers-back-off"
	ReasonStreamUnknown  Reason = "stream-origin-unknown"
	ReasonStreamLost     Reason = "stream-lost"
	// ReasonEngineFull is a request for which no engine has enough memory now.
	ReasonEngineFull Reason = "engine-memory-full"
	// ReasonTooLargeForEngine is a request that fits into no engine of its service.
	ReasonTooLargeForEngine Reason = "too-large-for-engine"
)

// Outcome is how a request ended.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Status is the HTTP status that the caller receives.
	Status int
	// RetryAfter is the delay after which the caller may retry; 0 for no hint.
	RetryAfter time.Duration
	// Fractional writes Retry-After with fractions of a second, for callers
	// that are known to read them.
	Fractional bool
	// Detail is a human-readable explanation.
	Detail string
}

// Problem is the problem document of an Outcome.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome Kind   `json:"outcome"`
	Reason  Reason `json:"reason"`
	// RequestID identifies the request in logs and traces.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMS is the delay before a retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Refuse returns a not-run outcome.
func Refuse(reason Reason, status int, after time.Duration, detail string) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Status: status, RetryAfter: after, Detail: detail}
}

// Write writes the outcome as the complete response. It must be called before
// any other part of the response is written.
func Write(w http.ResponseWriter, requestID string, o Outcome) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(Header, string(o.Kind))
	if o.RetryAfter > 0 {
		h.Set("Retry-After", o.retryAfter())
	}
	p := Problem{
		Type:         "urn:goldcrestport:problem:" + string(o.Reason),
		Title:        http.StatusText(o.Status),
		Status:       o.Status,
		Detail:       o.Detail,
		Outcome:      o.Kind,
		Reason:       o.Reason,
		RequestID:    requestID,
		RetryAfterMS: o.RetryAfter.Milliseconds(),
	}
	// A Problem has no value that cannot be encoded.
	document, _ := json.Marshal(p)
	document = append(document, '\n')
	h.Set("Content-Length", strconv.Itoa(len(document)))
	w.WriteHeader(o.Status)
	// Fails if the caller has disconnected; nobody is left to receive the error.
	_, _ = w.Write(document)
}

// RetryAfterSeconds rounds a delay up to the whole seconds of Retry-After.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// retryAfter formats the delay for the Retry-After header.
func (o Outcome) retryAfter() string {
	if o.Fractional {
		return strconv.FormatFloat(o.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return RetryAfterSeconds(o.RetryAfter)
}
