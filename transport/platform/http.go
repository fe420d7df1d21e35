package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes bounds the part of a response body that is read, in bytes.
const maxResponseBytes = 64 << 20

// maxHeaderBytes bounds the header of one response.
const maxHeaderBytes = 64 << 10

// Client is an HTTP client of the platform. It implements Store and Directory.
type Client struct {
	base    string
	caller  string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client for the base URL. The caller name is sent with
// each call, so that the platform can count calls per process. The timeout
// bounds each call; a watch may take as much longer as its own timeout.
func NewClient(base, caller string, timeout time.Duration) *Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{
		base:    strings.TrimRight(base, "/"),
		caller:  caller,
		timeout: timeout,
		http:    &http.Client{Transport: tr, CheckRedirect: neverRedirect},
	}
}

// neverRedirect keeps the client from following redirects: a redirected write
// would become a read, whose response would be taken for that of the write.
func neverRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, http.MethodGet, keyPath(key), nil, &e)
	return e, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	q := url.Values{}
	if version != AnyVersion {
		q.Set("version", strconv.FormatUint(version, 10))
	}
	if lease != "" {
		q.Set("lease", lease)
	}
	var answer struct {
		Version uint64 `json:"version"`
	}
	err := c.call(ctx, http.MethodPut, withQuery(keyPath(key), q), value, &answer)
	return answer.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	q := url.Values{}
	if version != AnyVersion {
		q.Set("version", strconv.FormatUint(version, 10))
	}
	return c.call(ctx, http.MethodDelete, withQuery(keyPath(key), q), nil, nil)
}

// entries is the response body of List and Watch.
type entries struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var answer entries
	err := c.call(ctx, http.MethodGet, withQuery("/v1/kv", url.Values{"prefix": {prefix}}), nil, &answer)
	return answer.Entries, answer.Revision, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Entry, uint64, error) {
	q := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	var answer entries
	err := c.callFor(ctx, timeout+c.timeout, http.MethodGet, withQuery("/v1/watch", q), nil, &answer)
	return answer.Entries, answer.Revision, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	q := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	var answer struct {
		ID string `json:"id"`
	}
	err := c.call(ctx, http.MethodPost, withQuery("/v1/leases", q), nil, &answer)
	return answer.ID, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.call(ctx, http.MethodPost, "/v1/leases/"+url.PathEscape(lease), nil, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.call(ctx, http.MethodDelete, "/v1/leases/"+url.PathEscape(lease), nil, nil)
}

// Instances implements Directory.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/instances", nil, &answer)
	return answer.Instances, err
}

func keyPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}

func withQuery(path string, q url.Values) string {
	if len(q) == 0 {
		return path
	}
	return path + "?" + q.Encode()
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	return c.callFor(ctx, c.timeout, method, path, body, into)
}

func (c *Client) callFor(ctx context.Context, limit time.Duration, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform request")
	}
	req.Header.Set("X-Caller", c.caller)
	// Without this the transport would resend a call whose response was lost.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrUnknown)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrUnknown)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrUnknown)
	}
	return nil
}

func statusError(status int) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrBusy
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return ErrUnknown
	}
}
