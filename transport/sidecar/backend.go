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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/framing"
	"goldcrestport/transport/orderly"
	"goldcrestport/transport/probe"
	"goldcrestport/transport/revocable"
)

// unforwardedHeaders lists the response headers that are not forwarded to
// routers. Content-Length is forwarded: it lets the caller detect a truncated
// response.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Authorization": true,
}

// errNotWritten marks a call of which no byte was written to the backend
// server, which proves that the request did not run.
var errNotWritten = errors.New("nothing was written to the backend server")

// Limits of the connections to the backend server.
const (
	backendIdleConns   = 256
	backendIdleTime    = time.Minute
	backendDialTimeout = 5 * time.Second
)

// backend calls the backend server over HTTP.
//
// Invariant: one call of do sends the request at most once. net/http retries a
// request on its own only if its connection was reused and the request has no
// body (or one that can be read again). Therefore every body here can be read
// only once, and a request for which that does not prevent a retry is sent on
// a new connection. Redirects are not followed.
type backend struct {
	base string
	// keepAlive reuses connections; singleUse opens a new one for each call.
	keepAlive *http.Client
	singleUse *http.Client
}

func newBackend(base string) *backend {
	return &backend{
		base:      strings.TrimRight(base, "/"),
		keepAlive: newBackendClient(false),
		singleUse: newBackendClient(true),
	}
}

// maxHeaderBytes bounds the header of one answer, which a server may send without end.
const maxHeaderBytes = 64 << 10

func newBackendClient(singleUse bool) *http.Client {
	d := &net.Dialer{Timeout: backendDialTimeout}
	tr := &http.Transport{
		MaxIdleConnsPerHost:    backendIdleConns,
		IdleConnTimeout:        backendIdleTime,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableKeepAlives:      singleUse,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			raw, err := revocable.Dial(ctx, d, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: raw}, nil
		},
	}
	return &http.Client{
		Transport:     tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// errCutOff is the error of a read of a connection that ended, but not in order.
var errCutOff = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}

// countingConn counts the bytes written, and can be sealed against further
// writes.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read implements net.Conn. A connection that did not end in order ends with an
// error, and with its end the writing of a request ends, too.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	inOrder := orderly.Ended(c.Conn)
	_ = c.SetWriteDeadline(time.Now())
	if !inOrder {
		return n, errCutOff
	}
	return n, err
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal reports whether the byte count still equals before. If so, it also
// prevents any further write.
func (c *countingConn) seal(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != before {
		return false
	}
	c.sealed = true
	return true
}

// assignedConn records the connection that net/http assigned to a call.
type assignedConn struct {
	mu     sync.Mutex
	conn   *countingConn
	before int64
	// written gets the error of writing the request, nil if it was written whole.
	written chan error
}

// onWrote records how the writing of the request ended.
func (u *assignedConn) onWrote(info httptrace.WroteRequestInfo) {
	select {
	case u.written <- info.Err:
	default:
	}
}

// requestBoundBody is the body of a response that ends with its connection. It
// ends with an error if the server did not receive the whole request before.
type requestBoundBody struct {
	io.ReadCloser
	written <-chan error
	// end is the error of the last read once the body has ended.
	end error
}

// Read implements io.Reader.
func (b *requestBoundBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.end = io.EOF
	if <-b.written != nil {
		b.end = errCutOff
	}
	return n, b.end
}

func (u *assignedConn) onGotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn, u.before = c, c.count()
	select {
	case <-u.written:
		// An earlier connection was closed before any of the request was written.
	default:
	}
}

// discard closes the connection: what follows on it belongs to no request.
func (u *assignedConn) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

// nothingWritten reports whether no byte of the call was or will be written.
// It is called after the call has failed: a failed call is not assigned
// another connection.
func (u *assignedConn) nothingWritten() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn == nil || u.conn.seal(u.before)
}

// unreplayableBody is a request body that cannot be read a second time.
type unreplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (unreplayableBody) Close() error { return nil }

// do sends the request once and returns the response with its body open. The
// error is marked with errNotWritten if the request certainly did not run.
func (b *backend) do(ctx context.Context, st *wire.RunStart, body []byte) (*http.Response, error) {
	if !strings.HasPrefix(st.Path, "/") {
		// Appended to the base URL, it would change the host or port.
		return nil, errors.Mark(errors.New("the path has no leading slash"), errNotWritten)
	}
	used := assignedConn{written: make(chan error, 1)}
	trace := &httptrace.ClientTrace{GotConn: used.onGotConn, WroteRequest: used.onWrote}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), st.Method, b.base+st.Path, nil)
	if err != nil {
		return nil, errors.Mark(err, errNotWritten)
	}
	setHeaders(req, st)
	client := b.keepAlive
	switch {
	case len(body) > 0:
		req.Body = unreplayableBody{bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
	case transportProbesBody(st.Method):
		// net/http detects that the body is empty and sends none.
		req.Body = unreplayableBody{bytes.NewReader(nil)}
	default:
		client = b.singleUse
	}
	if !st.Idempotent {
		// The backend server may close a reused connection at this moment, and
		// then it is unknown whether the request ran.
		client = b.singleUse
	}
	resp, err := client.Do(req)
	if err != nil && used.nothingWritten() {
		return nil, errors.Mark(err, errNotWritten)
	}
	if err != nil {
		return nil, err
	}
	if !framing.IsStatus(resp.StatusCode) {
		used.discard()
	}
	if framing.Of(resp) == completeness.Connection {
		resp.Body = &requestBoundBody{ReadCloser: resp.Body, written: used.written}
	}
	return resp, nil
}

// transportProbesBody reports whether net/http checks for this method if a
// body of unknown length is empty.
func transportProbesBody(method string) bool {
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

func responseHead(resp *http.Response, incarnation string) *wire.Head {
	h := &wire.Head{Status: int32(resp.StatusCode), Incarnation: incarnation}
	for name, values := range resp.Header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, v := range values {
			h.Headers = append(h.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return h
}

// connectProbeTimeout bounds the connection attempt of probeConnect.
const connectProbeTimeout = 200 * time.Millisecond

// probeConnect checks whether the backend server accepts connections.
func (b *backend) probeConnect(ctx context.Context) completeness.Sign {
	target, err := url.Parse(b.base)
	if err != nil {
		return completeness.Silent
	}
	port := target.Port()
	if port == "" {
		port = target.Scheme
	}
	d := net.Dialer{Timeout: connectProbeTimeout}
	conn, err := probe.Open(ctx, func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", net.JoinHostPort(target.Hostname(), port))
	})
	if err == nil {
		_ = conn.Close()
	}
	return probe.Sign(err)
}
