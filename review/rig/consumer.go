package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// consumer sends requests on a channel that it keeps, as the pages tell: one request at a time, and a
// retry on a new channel.
type consumer struct {
	front string
	key   string
	conn  net.Conn
	in    *bufio.Reader
	last  time.Time
}

// result is what a consumer saw of one request.
type result struct {
	id       string
	status   int
	stamp    string
	body     string
	whole    bool
	kept     bool
	err      error
	sent     time.Time
	answered time.Time
	retry    time.Duration
}

func (r result) String() string {
	if r.err != nil && r.status == 0 {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d stamp=%q whole=%v", r.status, r.stamp, r.whole)
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends one request with a deadline and reads its answer.
func (c *consumer) do(method, path, id string, body []byte, limit time.Duration) (res result) {
	res.id = id
	if c.conn != nil && time.Since(c.last) > 4*time.Second {
		c.close()
	}
	res.kept = c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			res.err = err
			return res
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	res.sent = time.Now()
	_ = c.conn.SetDeadline(res.sent.Add(limit))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: %d\r\n", method, path, id, c.key, limit.Milliseconds())
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if _, res.err = c.conn.Write(append([]byte(b.String()), body...)); res.err != nil {
		c.close()
		return res
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		res.err = err
		c.close()
		return res
	}
	data, err := io.ReadAll(resp.Body)
	res.answered, c.last = time.Now(), time.Now()
	res.status, res.stamp, res.body, res.whole, res.err = resp.StatusCode, resp.Header.Get("Replica-Stamp"), string(data), err == nil, err
	if after := resp.Header.Get("Retry-After"); after != "" {
		var s float64
		_, _ = fmt.Sscanf(after, "%f", &s)
		res.retry = time.Duration(s * float64(time.Second))
	}
	if err != nil || resp.Close {
		c.close()
	}
	return res
}
