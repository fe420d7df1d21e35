package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/completeness"
	"goldcrestport/protocol/outcome"
	"goldcrestport/protocol/wire"
)

// Ways in which a server ends the connection after an answer that has no length.
const (
	resetsAtOnce  = "reset at once"
	resetsLater   = "reset once its answer was read"
	leavesUnread  = "closed with bytes unread"
	closesInOrder = "closed in order"
)

// startEarly starts a server that answers each request with the status line and three bytes without a length,
// before it has read the body if it does not close in order. It returns its base URL.
func startEarly(t *testing.T, status, end string, wasRead <-chan struct{}) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	answer := func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
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
	}
	go func() {
		for conn, err := lis.Accept(); err == nil; conn, err = lis.Accept() {
			go answer(conn)
		}
	}()
	return "http://" + lis.Addr().String()
}

// Guards against an answer that is passed on though its status is none that a response can have.
func TestAStatusThatNoResponseHasIsAServersFailure(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		base := startEarly(t, status+" X\r\nContent-Length: 3", closesInOrder, nil)
		for range 10 {
			s := newFuzzSidecar(qt.New(t), base)
			start := &wire.RunUp{Kind: &wire.RunUp_Start{Start: startOf("GET", "/x", true, "")}}
			stream := newFakeStream(context.Background(), lastOfRun, start)
			qt.Assert(t, s.Run(stream), qt.IsNil)
			qt.Assert(t, stream.sent, qt.HasLen, 1, qt.Commentf("status %s", status))
			qt.Check(t, stream.sent[0].GetEnd().GetOutcome(), qt.Equals, string(outcome.Failed))
		}
	}
}

// judgeEarly calls the server with a body and returns what its answer's end means; false if there is no answer.
func judgeEarly(base string, st *wire.RunStart, size int, wasRead chan<- struct{}) (completeness.Verdict, bool) {
	resp, err := newBackend(base).do(context.Background(), st, make([]byte, size))
	if err != nil {
		return completeness.Broken, false
	}
	defer resp.Body.Close()
	body := trackBody(resp)
	_, err = io.ReadFull(body, make([]byte, 3))
	select {
	case wasRead <- struct{}{}:
	default:
	}
	for err == nil {
		_, err = body.Read(make([]byte, 64))
	}
	return body.judge(), true
}

// Guards against a part of an answer without a length that is taken for the whole, as its server reset the
// connection while the request was being written.
func TestAnAnswerThatIsCutWhileItsRequestIsWritten(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found"} {
		for _, end := range []string{resetsAtOnce, resetsLater, leavesUnread} {
			for _, isIdempotent := range []bool{true, false} {
				for range 25 {
					wasRead := make(chan struct{}, 1)
					got, isAnswer := judgeEarly(startEarly(t, status, end, wasRead), startOf("POST", "/x", isIdempotent, ""), 6<<20, wasRead)
					qt.Check(t, !isAnswer || got == completeness.Broken, qt.IsTrue, qt.Commentf("%s, %s: %s", status, end, got))
				}
			}
		}
	}
}

// An answer without a length to a request that was received whole is not broken, however long the request is.
func TestAnAnswerThatEndsInOrderIsNotBroken(t *testing.T) {
	for _, size := range []int{0, 100, 64 << 10, 6 << 20} {
		for range 20 {
			got, isAnswer := judgeEarly(startEarly(t, "200 OK", closesInOrder, nil), startOf("POST", "/x", true, ""), size, nil)
			qt.Check(t, isAnswer && got == completeness.Unmarked, qt.IsTrue, qt.Commentf("%d bytes: %s", size, got))
		}
	}
}
