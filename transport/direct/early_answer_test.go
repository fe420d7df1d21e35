package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
	"goldcrestport/protocol/settings"
)

// uploadLimit is the longest body in these tests, in bytes; upload is more than the buffers of a connection hold.
const uploadLimit = 8 << 20

var upload = strings.Repeat("x", 6<<20)

// startBeforeRaw starts a router before one server that handles each connection with the function.
func startBeforeRaw(t *testing.T, handle func(conn net.Conn, r *bufio.Reader)) *fixture {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for conn, err := lis.Accept(); err == nil; conn, err = lis.Accept() {
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	c := testConfig(1)
	c.Limits.BodyBytes = uploadLimit
	return startWith(t, c, func(set *settings.Direct, s *testSource) {
		set.Callers.Body = settings.Size(uploadLimit)
		s.now.Servers = []roster.Server{{ID: "i-1", Address: lis.Addr().String(), Service: "app", Slots: 8}}
	})
}

// Guards against a caller that gets a part of an answer as the whole: the server answered a long upload at once,
// without a length, and ended the connection while it was being written.
func TestAPartOfAnEarlyAnswerIsNotGivenAsTheWhole(t *testing.T) {
	for name, one := range map[string]struct{ path, status, body string }{
		"success":      {"/once/", "200 OK", "abc"},
		"not found":    {"/once/", "404 Not Found", "abc"},
		"server error": {"/once/", "500 Internal Server Error", "abc"},
		"stream":       {"/stream/", "200 OK", "id: 1\ndata: e1\n\n"},
		"resumable":    {"/resume/", "200 OK", "id: 1\ndata: e1\n\n"},
	} {
		for _, isReset := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reset=%v", name, isReset), func(t *testing.T) {
				f := startBeforeRaw(t, func(conn net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: m\r\n\r\n%s", one.status, testMark, one.body)
					if isReset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				for n := range 20 {
					got := f.send(one.path+"x", fmt.Sprint("r", n), upload, testLeft, "2500")
					f.Check(got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("got %d %q as the whole", got.status, got.body))
				}
			})
		}
	}
}

// Guards against the answer that follows one whose status no response can have, and is given to the caller in its
// place; and against such a status itself.
func TestAStatusThatNoResponseHasIsAServersFailure(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, follows := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, followed=%v", status, follows), func(t *testing.T) {
				f := startBeforeRaw(t, func(conn net.Conn, r *bufio.Reader) {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: m\r\nContent-Length: 0\r\n\r\n", status, testMark)
					if follows {
						respond(conn, req, http.StatusOK, testMark+": m\r\n", "hello")
					}
				})
				for n := range 10 {
					got := f.call("/once/x", fmt.Sprint("r", n), testLeft, "2500")
					f.Check(got.status == http.StatusBadGateway && got.body != "hello", qt.IsTrue, qt.Commentf("got %d %q", got.status, got.body))
				}
			})
		}
	}
}
