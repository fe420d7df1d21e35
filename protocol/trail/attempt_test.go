package trail

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Given a request's id, Explain has to list each abandoned attempt and what the router knew
// of the server at that time.
func TestExplainAbandonedAttempt(t *testing.T) {
	const lines = `ts=2026-11-20T10:00:02.000Z id=edge-1 event=request_ended request=aa01 route=r-1 team=t1 version=3 server=i-2 sent=2 reached=2 why=deadline status=504
ts=2026-11-20T10:00:01.000Z id=edge-1 event=attempt_abandoned request=aa01 server=i-1 incarnation=7 address=10.0.0.1:80 attempt=1 began=2026-11-20T10:00:00.000Z after_ms=1000 knowledge_age_ms=1200 usable=false why="no progress" how=reset answered=false unacked=412
`
	all, _, err := Read(strings.NewReader(lines), "aa01")
	qt.Assert(t, err, qt.IsNil)
	var b strings.Builder
	qt.Assert(t, Explain(&b, "aa01", all), qt.IsNil)
	qt.Check(t, b.String(), qt.Contains, "- 2026-11-20T10:00:01.000Z, edge-1: attempt 1 at server i-1 (10.0.0.1:80) was given up (no progress) after 1000 ms; its first byte was written at 2026-11-20T10:00:00.000Z, by knowledge 1200 ms old; the connection was reset with 412 bytes not acknowledged, the answer had not begun, the server was known to be gone or to leave.\n")
}
