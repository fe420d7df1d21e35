package direct

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// answersOfEachKind answers by the request's path: a long head, bodies held whole and beyond, and a long event.
func answersOfEachKind(w io.Writer, req *http.Request) bool {
	switch strings.TrimPrefix(req.URL.Path, "/once/") {
	case "head":
		return respond(w, req, http.StatusOK, testMark+": m\r\nX-Long: "+strings.Repeat("h", 20<<10)+"\r\n", "hello")
	case "held":
		return respond(w, req, http.StatusOK, testMark+": m\r\n", strings.Repeat("x", 60<<10))
	case "long":
		return respond(w, req, http.StatusOK, testMark+": m\r\n", strings.Repeat("x", 300<<10))
	case "unframed":
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\n\r\n%s", testMark, strings.Repeat("x", 300<<10))
		return false
	default:
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: %s\n\n", testMark, strings.Repeat("x", 100<<10))
		return false
	}
}

// Guards against answers that are not whole where there is no memory to hold them, and against memory that is not
// given back, whatever the answer and whether or not there is any.
func TestAnswersAreWholeWithAndWithoutMemory(t *testing.T) {
	f := start(t, testConfig(1), newBackend(t, "i-1", answersOfEachKind))
	for _, limit := range []int64{1 << 30, 0} {
		f.router.answerMemory.SetLimit(limit)
		var wg sync.WaitGroup
		for path, want := range map[string]int{"/once/held": 60 << 10, "/once/long": 300 << 10, "/once/unframed": 300 << 10, "/once/head": 5, "/stream/event": 100<<10 + len("id: 1\ndata: \n\n")} {
			for n := range 8 {
				wg.Go(func() {
					got := f.call(path, fmt.Sprint(limit, path, n), testLeft, "2500")
					if limit == 0 && path == "/once/head" {
						f.Check(got.status, qt.Equals, http.StatusBadGateway)
						return
					}
					f.Check(got.err, qt.IsNil)
					f.Check(got.status, qt.Equals, http.StatusOK)
					f.Check(got.body, qt.HasLen, want, qt.Commentf(path))
				})
			}
		}
		wg.Wait()
		f.waitFor("the memory is not given back", func() bool { return f.router.answerMemory.Used() == 0 })
	}
	f.Check(f.router.answerMemory.Refused() > 0, qt.IsTrue)
}
