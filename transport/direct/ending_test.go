package direct

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/protocol/settings"
	"goldcrestport/protocol/trail"
)

// of returns the lines of the event about the request.
func (b *lineBuffer) of(event, request string) []trail.Line {
	var out []trail.Line
	for _, text := range strings.Split(b.String(), "\n") {
		if one := trail.Parse([]byte(text)); one["event"] == event && one["request"] == request {
			out = append(out, one)
		}
	}
	return out
}

// The log shows for a request's id how its answer was framed, how it ended and what its caller
// received: otherwise a truncated answer cannot be distinguished from a complete one afterwards.
func TestTheEndOfAnAnswerIsLogged(t *testing.T) {
	run := func(w io.Writer, _ *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: m\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 7\n\ndata:\r\n", testMark)
		return false
	}
	var lines lineBuffer
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(&lines), func(*settings.Direct, *testSource) {}, newBackend(t, "i-1", run))
	f.Check(f.call("/stream/", "r").err, qt.IsNotNil)
	f.waitFor("the lines", func() bool { return len(lines.of("request_ended", "r")) > 0 })
	want := map[string]string{"answer": "chunks/closed", "events": "1", "last_event": "7", "inside_event": "true"}
	for _, event := range []string{"answer_broken", "request_ended"} {
		f.Assert(lines.of(event, "r"), qt.HasLen, 1, qt.Commentf(event))
		for key, value := range want {
			f.Check(lines.of(event, "r")[0][key], qt.Equals, value, qt.Commentf("%s of %s", key, event))
		}
	}
	f.Check(lines.of("request_ended", "r")[0]["told"], qt.Equals, deliveredCut)
	f.Check(lines.of("request_ended", "r")[0]["told_by"], qt.Equals, "chunks")
	f.Check(f.router.metrics.answers.Get("chunks/closed/broken").String(), qt.Equals, "1")
}

// An answer that counts as whole although nothing marked its end is always logged, so that it
// can be explained later why its caller received it as whole.
func TestEachAnswerAssumedWholeIsLogged(t *testing.T) {
	var lines lineBuffer
	believed := plan(answerPlan{framing: byConnection, body: eventsText(1, 2)})
	f := startLogged(t, testConfig(1), log.NewLogfmtLogger(&lines), func(*settings.Direct, *testSource) {}, newBackend(t, "i-1", believed))
	for i := range 20 {
		f.Check(f.once(http11, "/stream/", numbered("r", i)).looksWhole(), qt.IsTrue)
	}
	for i := range 20 {
		f.waitFor("the line", func() bool { return len(lines.of("request_completed", numbered("r", i))) == 1 })
		one := lines.of("request_completed", numbered("r", i))[0]
		f.Check(one["answer"], qt.Equals, "connection/closed")
		f.Check(one["server_then"], qt.Equals, "takes")
	}
}
