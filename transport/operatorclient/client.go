// Package operatorclient is a client of the routers' operators' interface. It
// tries the routers in order, since any of them can serve a call.
//
// goldcrestctl and other tools use it.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
	"goldcrestport/transport/revocable"
)

// maxResponseBytes bounds the size of a response body that is read.
const maxResponseBytes = 64 << 20

// ErrUnreachable means that no router gave a usable response.
var ErrUnreachable = errors.New("no router answered")

// ProblemError is a router's problem document.
type ProblemError struct{ operator.Problem }

// Error implements error.
func (e *ProblemError) Error() string {
	if e.Detail == "" {
		return string(e.Reason)
	}
	return e.Detail
}

// Client calls the routers with one operator's token.
type Client struct {
	routers []string
	token   string
	http    *http.Client
}

// New returns a client of the routers at the given operators' addresses,
// "IP:port" or URLs. The timeout applies to each call of one router; a call
// that times out is revoked as far as possible, so that it isn't delivered
// later.
func New(routers []string, token string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return revocable.Dial(ctx, &net.Dialer{}, address)
	}
	c := &Client{token: token, http: &http.Client{Timeout: timeout, Transport: transport}}
	for _, r := range routers {
		if !strings.Contains(r, "://") {
			r = "http://" + r
		}
		c.routers = append(c.routers, strings.TrimRight(r, "/"))
	}
	return c
}

// Plan returns what the intent would change. The base may be nil.
func (c *Client) Plan(ctx context.Context, intent json.RawMessage, base *uint64) (*operator.PlanResponse, error) {
	var out operator.PlanResponse
	return &out, c.callAny(ctx, http.MethodPost, operator.PathPlan, operator.PlanRequest{Intent: intent, BaseRevision: base}, &out)
}

// RollbackPlan returns a plan that restores an older revision's content.
func (c *Client) RollbackPlan(ctx context.Context, revision uint64) (*operator.PlanResponse, error) {
	var out operator.PlanResponse
	return &out, c.callAny(ctx, http.MethodPost, operator.PathRollbackPlan, operator.RollbackRequest{Revision: revision}, &out)
}

// Confirm makes the plan the next revision. It is idempotent.
func (c *Client) Confirm(ctx context.Context, request operator.ConfirmRequest) (*operator.ConfirmResponse, error) {
	var out operator.ConfirmResponse
	return &out, c.callAny(ctx, http.MethodPost, operator.PathConfirm, request, &out)
}

// Settle looks up whether a plan was accepted.
func (c *Client) Settle(ctx context.Context, base uint64, digest string) (*operator.SettleResponse, error) {
	q := url.Values{"base": {strconv.FormatUint(base, 10)}, "digest": {digest}}
	var out operator.SettleResponse
	return &out, c.callAny(ctx, http.MethodGet, operator.PathSettle+"?"+q.Encode(), nil, &out)
}

// Config returns the newest configuration.
func (c *Client) Config(ctx context.Context) (*operator.ConfigResponse, error) {
	var out operator.ConfigResponse
	return &out, c.callAny(ctx, http.MethodGet, operator.PathConfig, nil, &out)
}

// History returns the last n revisions.
func (c *Client) History(ctx context.Context, n int) (*operator.HistoryResponse, error) {
	var out operator.HistoryResponse
	return &out, c.callAny(ctx, http.MethodGet, operator.PathHistory+"?n="+strconv.Itoa(n), nil, &out)
}

// Status returns the state of the fleet as seen by the first router that
// responds.
func (c *Client) Status(ctx context.Context) (*operator.Status, error) {
	var out operator.Status
	return &out, c.callAny(ctx, http.MethodGet, operator.PathStatus, nil, &out)
}

// callAny tries the routers in order until one gives a definite answer. An
// error with an unknown outcome takes precedence over a later router's failure:
// the later router doesn't know whether the earlier one applied the change.
func (c *Client) callAny(ctx context.Context, method, path string, in, out any) error {
	var data []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		data = encoded
	}
	var callErr error
	for _, router := range c.routers {
		err := c.callOne(ctx, router, method, path, data, out)
		if err == nil || isDefinite(err) {
			return err
		}
		if callErr == nil || !isOutcomeUnknown(callErr) {
			callErr = err
		}
	}
	if callErr == nil {
		return errors.Mark(errors.New("no router is given"), ErrUnreachable)
	}
	return callErr
}

// isDefinite reports whether every router would return the same error.
func isDefinite(err error) bool {
	var p *ProblemError
	return errors.As(err, &p) && p.Status != http.StatusServiceUnavailable
}

// isOutcomeUnknown reports whether the change may or may not have been applied.
func isOutcomeUnknown(err error) bool {
	var p *ProblemError
	return errors.As(err, &p) && p.Outcome == outcome.Unknown
}

// callOne sends the request to one router and decodes its response into out.
func (c *Client) callOne(ctx context.Context, router, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, router+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return problemOf(resp, data)
	}
	return errors.Mark(errors.Wrap(json.Unmarshal(data, out), "answer of "+router), ErrUnreachable)
}

// problemOf decodes a problem document. It builds one from the status if the
// body is anything else.
func problemOf(resp *http.Response, data []byte) error {
	p := &ProblemError{}
	if json.Unmarshal(data, &p.Problem) != nil || p.Reason == "" {
		p.Status, p.Reason = resp.StatusCode, outcome.ReasonInternal
		p.Detail = resp.Status
	}
	return p
}
