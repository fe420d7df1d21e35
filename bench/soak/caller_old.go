package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// oldEvery is how many callers there are for each one on HTTP/1.0.
const oldEvery = 4

// do sends the request in the caller's protocol.
func (c *caller) do(req *http.Request) (*http.Response, error) {
	if !c.isOld {
		return c.client.Do(req)
	}
	return sendOld(req)
}

// sendOld sends the request on HTTP/1.0, which net/http's client does not speak, on a connection
// of its own.
func sendOld(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{}).DialContext(req.Context(), "tcp", req.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(req.Context(), func() { _ = conn.Close() })
	answer, err := exchangeOld(conn, req, string(body))
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	answer.Body = &oldBody{ReadCloser: answer.Body, conn: conn, stop: stop}
	return answer, nil
}

func exchangeOld(conn net.Conn, req *http.Request, body string) (*http.Response, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", req.Method, req.URL.RequestURI(), req.Host, len(body))
	if err := req.Header.Write(&text); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, text.String()+"\r\n"+body); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), req)
}

// oldBody is the body of an answer on a connection of its own.
type oldBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer.
func (b *oldBody) Close() error {
	b.stop()
	_ = b.ReadCloser.Close()
	return b.conn.Close()
}
