// Package operatorclient calls the operators' interface of the routers. It
// tries one router after the other, since any can answer.
//
// goldcrestctl and tools use it.
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

// maxAnswer bounds what is read of an answer, in bytes.
const maxAnswer = 64 << 20

// ErrUnreachable means that no router answered.
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

// New returns a client of the routers' operators' addresses, "IP:port" or
// URLs. The timeout bounds the call of one router; one that ends by it is taken back as far
// as that can be done.
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

// Plan asks what the intent would change. The base may be nil.
func (c *Client) Plan(ctx context.Context, intent json.RawMessage, base *uint64) (*operator.PlanResponse, error) {
	var out operator.PlanResponse
	return &out, c.any(ctx, http.MethodPost, operator.PathPlan, operator.PlanRequest{Intent: intent, BaseRevision: base}, &out)
}

// RollbackPlan asks for a plan that restores an older revision's content.
func (c *Client) RollbackPlan(ctx context.Context, revision uint64) (*operator.PlanResponse, error) {
	var out operator.PlanResponse
	return &out, c.any(ctx, http.MethodPost, operator.PathRollbackPlan, operator.RollbackRequest{Revision: revision}, &out)
}

// Confirm makes the plan the next revision. It is safe to repeat.
func (c *Client) Confirm(ctx context.Context, ask operator.ConfirmRequest) (*operator.ConfirmResponse, error) {
	var out operator.ConfirmResponse
	return &out, c.any(ctx, http.MethodPost, operator.PathConfirm, ask, &out)
}

// Settle asks what became of a plan.
func (c *Client) Settle(ctx context.Context, base uint64, digest string) (*operator.SettleResponse, error) {
	q := url.Values{"base": {strconv.FormatUint(base, 10)}, "digest": {digest}}
	var out operator.SettleResponse
	return &out, c.any(ctx, http.MethodGet, operator.PathSettle+"?"+q.Encode(), nil, &out)
}

// Config returns the newest configuration.
func (c *Client) Config(ctx context.Context) (*operator.ConfigResponse, error) {
	var out operator.ConfigResponse
	return &out, c.any(ctx, http.MethodGet, operator.PathConfig, nil, &out)
}

// History returns the last n revisions.
func (c *Client) History(ctx context.Context, n int) (*operator.HistoryResponse, error) {
	var out operator.HistoryResponse
	return &out, c.any(ctx, http.MethodGet, operator.PathHistory+"?n="+strconv.Itoa(n), nil, &out)
}

// Status returns the fleet as the first router that answers sees it.
func (c *Client) Status(ctx context.Context) (*operator.Status, error) {
	var out operator.Status
	return &out, c.any(ctx, http.MethodGet, operator.PathStatus, nil, &out)
}

// any tries the routers in turn until one gives a definite answer. An answer
// that leaves the fate of a change open is kept over a later router's failure:
// that router knows nothing of what the first one did.
func (c *Client) any(ctx context.Context, method, path string, in, out any) error {
	var data []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		data = encoded
	}
	var kept error
	for _, router := range c.routers {
		err := c.one(ctx, router, method, path, data, out)
		if err == nil || definite(err) {
			return err
		}
		if kept == nil || !open(kept) {
			kept = err
		}
	}
	if kept == nil {
		return errors.Mark(errors.New("no router is given"), ErrUnreachable)
	}
	return kept
}

// definite reports whether another router would say the same.
func definite(err error) bool {
	var p *ProblemError
	return errors.As(err, &p) && p.Status != http.StatusServiceUnavailable
}

// open reports whether the error leaves the fate of a change open.
func open(err error) bool {
	var p *ProblemError
	return errors.As(err, &p) && p.Outcome == outcome.Unknown
}

// one calls one router.
func (c *Client) one(ctx context.Context, router, method, path string, body []byte, out any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return problemOf(resp, data)
	}
	return errors.Mark(errors.Wrap(json.Unmarshal(data, out), "answer of "+router), ErrUnreachable)
}

// problemOf reads a problem document; any other answer becomes one.
func problemOf(resp *http.Response, data []byte) error {
	p := &ProblemError{}
	if json.Unmarshal(data, &p.Problem) != nil || p.Reason == "" {
		p.Status, p.Reason = resp.StatusCode, outcome.ReasonInternal
		p.Detail = resp.Status
	}
	return p
}
