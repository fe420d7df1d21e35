package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/probe"
	"goldcrestport/transport/revocable"
)

// hopHeaders are not passed on to routers. Content-Length is: it lets the
// caller see that an answer was cut short.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Authorization": true,
}

// errNotWritten marks a call of which no byte went to the backend server, so
// that it is proven not to have run.
var errNotWritten = errors.New("nothing was written to the backend server")

// Bounds of the connections to the backend server.
const (
	backendIdleConns   = 256
	backendIdleTime    = time.Minute
	backendDialTimeout = 5 * time.Second
)

// backend calls the backend server over HTTP.
//
// Invariant: one call of do sends the request at most once. The transport
// repeats a request on its own only if its connection was used before and the
// request has no body (or one that can be read again). So every body here can
// be read once only, and a request for which that isn't enough goes out on a
// connection of its own. Redirects are not followed.
type backend struct {
	base string
	// kept keeps connections open; once opens one for each call.
	kept *http.Client
	once *http.Client
}

func newBackend(base string) *backend {
	return &backend{
		base: strings.TrimRight(base, "/"),
		kept: newBackendClient(false),
		once: newBackendClient(true),
	}
}

func newBackendClient(once bool) *http.Client {
	d := &net.Dialer{Timeout: backendDialTimeout}
	tr := &http.Transport{
		MaxIdleConnsPerHost: backendIdleConns,
		IdleConnTimeout:     backendIdleTime,
		DisableCompression:  true,
		DisableKeepAlives:   once,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			raw, err := revocable.Dial(ctx, d, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: raw}, nil
		},
	}
	return &http.Client{
		Transport:     tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// countedConn counts what was written, and can be sealed against writes.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal reports whether nothing was written since the count was before, and if
// so makes sure that nothing will be.
func (c *countedConn) seal(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != before {
		return false
	}
	c.sealed = true
	return true
}

// usedConn is the connection that a call was given.
type usedConn struct {
	mu     sync.Mutex
	conn   *countedConn
	before int64
}

func (u *usedConn) got(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn, u.before = c, c.count()
}

// unwritten reports whether no byte of the call went out or will go out. It
// is asked when the call has failed, after which it gets no connection.
func (u *usedConn) unwritten() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn == nil || u.conn.seal(u.before)
}

// onceBody is a request body that can't be read a second time.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// do sends the request once and returns the open answer. The error is marked
// with errNotWritten if the request certainly did not run.
func (b *backend) do(ctx context.Context, st *wire.RunStart, body []byte) (*http.Response, error) {
	if !strings.HasPrefix(st.Path, "/") {
		// It would become a part of the backend server's address.
		return nil, errors.Mark(errors.New("the path has no leading slash"), errNotWritten)
	}
	var used usedConn
	trace := &httptrace.ClientTrace{GotConn: used.got}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), st.Method, b.base+st.Path, nil)
	if err != nil {
		return nil, errors.Mark(err, errNotWritten)
	}
	setHeaders(req, st)
	client := b.kept
	switch {
	case len(body) > 0:
		req.Body = onceBody{bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
	case usuallyWithoutBody(st.Method):
		// The transport finds that it is empty and sends none.
		req.Body = onceBody{bytes.NewReader(nil)}
	default:
		client = b.once
	}
	if !st.Idempotent {
		// A kept connection may be closed by the backend server just now,
		// and then it can't be known whether the request ran.
		client = b.once
	}
	resp, err := client.Do(req)
	if err != nil && used.unwritten() {
		return nil, errors.Mark(err, errNotWritten)
	}
	return resp, err
}

// usuallyWithoutBody are the methods for which the transport looks whether a
// body of unknown length is empty.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func setHeaders(req *http.Request, st *wire.RunStart) {
	for _, h := range st.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set("X-Request-Id", st.Attempt.RequestId)
	req.Header.Set("X-Team", st.Team)
	if st.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", st.IdempotencyKey)
	}
	if st.Traceparent != "" {
		req.Header.Set("Traceparent", st.Traceparent)
	}
}

func headOf(resp *http.Response, incarnation string) *wire.Head {
	h := &wire.Head{Status: int32(resp.StatusCode), Incarnation: incarnation}
	for name, values := range resp.Header {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			h.Headers = append(h.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return h
}

// signTimeout bounds the look whether the backend server takes connections.
const signTimeout = 200 * time.Millisecond

// sign looks whether the backend server takes connections.
func (b *backend) sign(ctx context.Context) completeness.Sign {
	at, err := url.Parse(b.base)
	if err != nil {
		return completeness.Silent
	}
	port := at.Port()
	if port == "" {
		port = at.Scheme
	}
	d := net.Dialer{Timeout: signTimeout}
	conn, err := probe.Open(ctx, func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", net.JoinHostPort(at.Hostname(), port))
	})
	if err == nil {
		_ = conn.Close()
	}
	return probe.Sign(err)
}
