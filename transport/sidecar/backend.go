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
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/framing"
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
