package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// wholeHeads are heads of answers, each in a framing of its own.
func wholeHeads() map[string]string {
	const status, mark = "HTTP/1.1 200 OK\r\n", testMark + ": m\r\n"
	return map[string]string{
		"length":          status + mark + "Content-Length: 10\r\n\r\n",
		"no body":         status + "Content-Length: 0\r\n" + mark + "\r\n",
		"chunks":          status + mark + "Transfer-Encoding: chunked\r\n\r\n",
		"events":          status + mark + "Content-Type: text/event-stream\r\n\r\n",
		"interim, then":   "HTTP/1.1 100 Continue\r\n\r\n" + status + mark + "\r\n",
		"without content": "HTTP/1.1 204 No Content\r\n" + mark + "\r\n",
	}
}

// headCutter is a server that ends its answers within their heads.
type headCutter struct {
	mu sync.Mutex
	// head is what it sends of the next answers, which end by the way; keeps means that it answers requests for pathKept
	// whole and keeps their connections.
	head, end string
	seen      map[io.Writer]bool
	// cut counts the answers that were cut, and onKept those of them on connections that had carried another one.
	cut, onKept int
}

// pathKept is the path of requests that are answered whole.
const pathKept = "/safe/whole"

func (s *headCutter) answer(w io.Writer, req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isKept := s.seen[w]
	s.seen[w] = true
	switch {
	case req.URL.Path == pathKept:
		return ok(w, req)
	case strings.HasPrefix(req.URL.Path, "/resume/") && req.Header.Get(testLast) == "":
		return answerPlan{framing: byConnection, body: eventsText(1, 2) + "id: 3\n"}.send(w)
	}
	s.cut++
	if isKept {
		s.onKept++
	}
	_, _ = io.WriteString(w, s.head)
	if s.end == resets {
		_ = w.(*net.TCPConn).SetLinger(0)
	}
	return false
}

func (s *headCutter) next(head, end string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head, s.end = head, end
}

// Guards against a head that stops at any byte, with the connection closed or reset, and that a caller gets as a whole answer:
// on new connections and on kept ones, to GET, HEAD and POST, on routes of each kind, and as the second try of a stream.
func TestAHeadCutAtAnyByteIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, head := range wholeHeads() {
		for _, one := range []struct{ method, path string }{
			{http.MethodPost, "/safe/"}, {http.MethodHead, "/safe/"}, {http.MethodGet, "/once/"}, {http.MethodPost, "/stream/"}, {http.MethodPost, "/resume/"},
		} {
			t.Run(fmt.Sprint(name, " ", one.method, one.path), func(t *testing.T) {
				t.Parallel()
				checkCutHeads(t, head, one.method, one.path)
			})
		}
	}
}

// checkCutHeads lets the server cut the head at each byte, on a new connection and on a kept one.
func checkCutHeads(t *testing.T, head, method, path string) {
	s := &headCutter{seen: map[io.Writer]bool{}}
	begin := func() *fixture {
		return start(t, testConfig(1), newBackend(t, "i-1", s.answer), newBackend(t, "i-2", s.answer))
	}
	f, whole, isSecondTry := begin(), 0, path == "/resume/"
	for cut := range head {
		if isSecondTry && cut%3 == 2 {
			// A router sends no second try to servers that broke a few answers off.
			f.end()
			f = begin()
		}
		for _, end := range []string{closes, resets} {
			s.next(head[:cut], end)
			if cut%2 == 0 && f.once(http11, pathKept, "kept").looksWhole() {
				whole++
			}
			// Each has a content of its own, as one that breaks its server again and again is refused unsent.
			got := f.connect().roundTrip(method, http11, fmt.Sprint(path, cut, end), fmt.Sprint(cut, end))
			comment := qt.Commentf("%q, %s: %+v", head[:cut], end, got)
			f.Check(got.looksWhole(), qt.IsFalse, comment)
			f.Check(got.status < 200 || got.status > 299 || got.broken != nil, qt.IsTrue, comment)
			f.Check(strings.HasPrefix(eventsText(1, 2), got.body) || got.status != http.StatusOK, qt.IsTrue, comment)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Check(s.cut >= len(head), qt.IsTrue, qt.Commentf("only %d answers were cut", s.cut))
	f.Check(isSecondTry || s.onKept > 0 && whole > 0, qt.IsTrue, qt.Commentf("%d on kept connections, %d whole before", s.onKept, whole))
}
