package trail

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Given a request's id, Explain has to say how its answer was framed and ended, and how it
// was ended towards the caller.
func TestExplainBrokenAnswer(t *testing.T) {
	const lines = `ts=2026-11-20T10:00:01.000Z id=edge-1 event=answer_broken request=aa01 route=r-1 attempt=1 server=i-1 incarnation=7 address=10.0.0.1:80 after_ms=900 answer=connection/closed answer_bytes=412 events=7 last_event=35 inside_event=true told= told_by=chunks left_out=0
ts=2026-11-20T10:00:01.001Z id=edge-1 event=request_ended request=aa01 route=r-1 team=t1 version=3 server=i-1 sent=1 reached=1 answer=connection/closed answer_bytes=412 events=7 last_event=35 inside_event=true told=cut told_by=chunks why="cut: unexpected EOF" left_out=0
ts=2026-11-20T10:00:02.000Z id=edge-1 event=request_completed request=aa02 route=r-1 team=t1 version=3 server=i-1 sent=1 reached=1 answer=length/marked answer_bytes=5 events=0 inside_event=false told=whole told_by=length took_ms=4 first_ms=2 status=200 left_out=0
`
	explain := func(id string) string {
		all, _, err := Read(strings.NewReader(lines), id)
		qt.Assert(t, err, qt.IsNil)
		var b strings.Builder
		qt.Assert(t, Explain(&b, id, all), qt.IsNil)
		return b.String()
	}
	const came = `it came with neither length nor chunks, and after 412 bytes its connection was closed, after 7 whole events (the last has id "35") and inside a further one.`
	qt.Check(t, explain("aa01"), qt.Contains, "the answer of server i-1 (10.0.0.1:80) to attempt 1 broke off after 900 ms: "+came+"\n")
	qt.Check(t, explain("aa01"), qt.Contains, " The last answer: "+came+" The caller was told that it is not whole, by chunks.\n")
	qt.Check(t, explain("aa02"), qt.Contains, " The last answer: it came with a length, and after 5 bytes its end was marked. The caller was told that it is whole, by a length.\n")
}
