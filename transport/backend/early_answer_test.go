package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/completeness"
)

// Ways in which a server ends the connection after an answer that has no length.
const (
	resetsAtOnce  = "reset at once"
	resetsLater   = "reset once its answer was read"
	leavesUnread  = "closed with bytes unread"
	closesInOrder = "closed in order"
)

// uploadSize is more than the buffers of a connection hold.
const uploadSize = 6 << 20

// earlyServer answers a request before it has read its body, if it ends the connection so, with the status and
// three bytes without a length.
func earlyServer(c *qt.C, status, end string, wasRead chan struct{}) *server {
	return serve(c, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if end == closesInOrder {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\n\r\nabc")
		if end == resetsLater {
			<-wasRead
		}
		if end == resetsAtOnce || end == resetsLater {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
}

// readEarly sends a request with the body and returns how its answer ended; false if there was none.
func readEarly(c *qt.C, p *Pool, s *server, size int, wasRead chan struct{}) (completeness.End, bool) {
	req := request("r")
	req.Body = bytesBody(make([]byte, size))
	a, failure := p.Do(context.Background(), s.target, req)
	if failure != nil {
		return 0, false
	}
	defer a.Close()
	buf := make([]byte, 64)
	n, err := a.Read(buf)
	for n < 3 && err == nil {
		var more int
		more, err = a.Read(buf[n:])
		n += more
	}
	select {
	case wasRead <- struct{}{}:
	default:
	}
	for err == nil {
		_, err = a.Read(buf)
	}
	c.Check(completeness.Judge(completeness.Answer{Framing: a.Framing(), End: a.End()}) == completeness.Broken, qt.Equals, a.End() != completeness.Closed)
	return a.End(), true
}

// Guards against an answer without a length that is cut by a reset while the request is being written, and taken
// for whole: the write returns the reset as its error, and the read an end of file.
func TestAnAnswerThatIsCutWhileItsRequestIsWritten(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		for _, end := range []string{resetsAtOnce, resetsLater, leavesUnread} {
			t.Run(status+" "+end, func(t *testing.T) {
				c := qt.New(t)
				p := NewPool(DefaultConfig())
				for range 40 {
					wasRead := make(chan struct{}, 1)
					got, isAnswer := readEarly(c, p, earlyServer(c, status, end, wasRead), uploadSize, wasRead)
					c.Check(!isAnswer || got == completeness.Reset, qt.IsTrue, qt.Commentf("%s", got))
				}
			})
		}
	}
}

// An answer without a length to a request that was received whole ends in order, however long the request is.
func TestAnAnswerThatEndsInOrder(t *testing.T) {
	c := qt.New(t)
	p := NewPool(DefaultConfig())
	for _, size := range []int{0, 100, maxInlineRequest, 64 << 10, uploadSize} {
		for range 20 {
			got, isAnswer := readEarly(c, p, earlyServer(c, "200 OK", closesInOrder, nil), size, nil)
			c.Check(isAnswer && got == completeness.Closed, qt.IsTrue, qt.Commentf("%d bytes: %s", size, got))
		}
	}
}
