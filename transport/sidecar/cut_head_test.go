package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// cutHeads are heads of answers, each in a framing of its own.
var cutHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
}

// startCutting starts a server that answers requests for /whole whole, on connections that it keeps, and ends its answers to
// others within the head: it sends what next returns, and closes or resets the connection.
func startCutting(t *testing.T, next func() (head string, isReset bool)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.URL.Path != "/whole" {
				break
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		head, isReset := next()
		_, _ = io.WriteString(conn, head)
		if isReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
	go func() {
		for conn, err := lis.Accept(); err == nil; conn, err = lis.Accept() {
			go serve(conn)
		}
	}()
	return "http://" + lis.Addr().String()
}

// lastAttempt numbers the attempts of these tests.
var lastAttempt atomic.Uint64

// runOnce runs one request at the sidecar and returns its last message, and the number of messages.
func runOnce(t *testing.T, s *Sidecar, start *wire.RunStart) (*wire.RunDown, int) {
	start.Attempt.RequestId = fmt.Sprint("r", lastAttempt.Add(1))
	stream := newFakeStream(context.Background(), lastOfRun, &wire.RunUp{Kind: &wire.RunUp_Start{Start: start}})
	stream.wait = 10 * time.Second
	qt.Assert(t, s.Run(stream), qt.IsNil)
	return stream.sent[len(stream.sent)-1], len(stream.sent)
}

// Guards against a head that stops at any byte, with the connection closed or reset, and that is passed on as an answer: on new
// connections and on kept ones, and to HEAD.
func TestAHeadCutAtAnyByteIsNoAnswer(t *testing.T) {
	for _, head := range cutHeads {
		cut, isReset := 0, false
		base := startCutting(t, func() (string, bool) { return head[:cut], isReset })
		for cut = range head {
			for _, isReset = range []bool{false, true} {
				for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
					// A sidecar keeps the slot of an attempt that failed for a while.
					s := newFuzzSidecar(qt.New(t), base)
					if cut%2 == 0 {
						last, _ := runOnce(t, s, startOf(http.MethodGet, "/whole", true, ""))
						qt.Assert(t, last.GetLast().GetOutcome(), qt.Equals, string(outcome.Completed), qt.Commentf("%v", last))
					}
					last, messages := runOnce(t, s, startOf(method, "/cut", cut%3 > 0, ""))
					comment := qt.Commentf("%q, %s, reset %v: %v", head[:cut], method, isReset, last)
					qt.Check(t, messages, qt.Equals, 1, comment)
					qt.Check(t, last.GetHead(), qt.IsNil, comment)
					qt.Check(t, last.GetEnd().GetOutcome() == string(outcome.Failed) || last.GetEnd().GetOutcome() == string(outcome.Unknown), qt.IsTrue, comment)
				}
			}
		}
	}
}
