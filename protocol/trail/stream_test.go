package trail

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// streams are lines of two routers about one stream of a caller that came back twice.
const streams = `ts=2026-11-20T10:00:01.000Z id=edge-1 event=stream_began request=aa01 service=app server=i-1 software=v1
ts=2026-11-20T10:00:03.000Z id=edge-2 event=stream_resumed request=aa02 stream=aa01 service=app after=4 within=false began= known_by= known_ms=0 versions=v1+v2 recent=v1+v2 config_age_ms=20 server=i-2 software=v2 how=sent
ts=2026-11-20T10:00:04.000Z id=edge-2 event=request_ended request=aa02 route=r-1 team=t1 version=3 resumes=aa01 resume_after=4 server=i-2 sent=1 reached=1 why="cut: unexpected EOF" status=0
ts=2026-11-20T10:00:05.000Z id=edge-3 event=stream_resumed request=aa03 stream=aa01 service=app after=9 within=false began=v1 known_by=edge-1 known_ms=4000 versions=v2 recent=v1+v2 config_age_ms=20 server= software= how=no-server
ts=2026-11-20T10:00:05.001Z id=edge-3 event=request_ended request=aa03 route=r-1 team=t1 version=3 resumes=aa01 resume_after=9 sent=0 reached=0 why=x status=503
ts=2026-11-20T10:00:06.000Z id=edge-3 event=request_completed request=bb01 status=200 server=i-2
`

// Given any attempt of a caller that resumes a stream, all of its attempts are found in the lines
// of several routers: which version began the stream, who knew that, and where it went on.
func TestExplainJoinsTheAttemptsOfAStream(t *testing.T) {
	for _, id := range []string{"aa01", "aa02", "aa03"} {
		lines, _, err := Read(strings.NewReader(streams), id)
		qt.Assert(t, err, qt.IsNil)
		if origin := Origin(id, lines); origin != "" {
			qt.Check(t, origin, qt.Equals, "aa01")
			more, _, err := Read(strings.NewReader(streams), origin)
			qt.Assert(t, err, qt.IsNil)
			lines = Merge(lines, more)
		}
		qt.Assert(t, lines, qt.HasLen, 5, qt.Commentf(id))
		var b strings.Builder
		qt.Assert(t, Explain(&b, id, lines), qt.IsNil)
		qt.Check(t, b.String(), qt.Contains, "its first event came from server i-1, of software version v1.\n")
		qt.Check(t, b.String(), qt.Contains, `the caller came back for the stream of request aa01 after event "4", which nobody is known to have seen begin; versions that serve: v1+v2, as of 20 ms before; it goes on at server i-2, of software version v2.`)
		qt.Check(t, b.String(), qt.Contains, `after event "9", which began at software version v1 (known by edge-1 for 4000 ms); versions that serve: v2 (lately v1+v2), as of 20 ms before; it goes on nowhere: no-server.`)
	}
}

// The lines of other attempts say whose they are.
func TestExplainNamesOtherAttempts(t *testing.T) {
	lines, _, err := Read(strings.NewReader(streams), "aa01")
	qt.Assert(t, err, qt.IsNil)
	var b strings.Builder
	qt.Assert(t, Explain(&b, "aa01", lines), qt.IsNil)
	qt.Check(t, b.String(), qt.Contains, "edge-1: its first event came")
	qt.Check(t, b.String(), qt.Contains, "edge-2: request aa02: the caller came back")
}

// Guards against a door that is in the log and that the explanation leaves out.
func TestExplainSaysTheDoor(t *testing.T) {
	const refused = `ts=2026-11-20T10:00:05.000Z id=edge-3 event=stream_resumed request=aa03 stream=aa01 service=app after=9 within=false route=chat door=doubted began=v1 known_by=edge-1 known_ms=4000 uncertain=true conflicting=false asked_us=300 asked=2 answered=1 servers=3 servers_usable=2 servers_trusted=0 new_came=9 new_began=8 resumed_came=4 resumed_went_on=1 versions=v1+v2 recent=v1+v2 config_age_ms=20 server= software= how=uncertain
`
	lines, _, err := Read(strings.NewReader(refused), "aa03")
	qt.Assert(t, err, qt.IsNil)
	var b strings.Builder
	qt.Assert(t, Explain(&b, "aa03", lines), qt.IsNil)
	qt.Check(t, b.String(), qt.Contains, "it goes on nowhere: uncertain. Door: doubted; 1 of 2 routers that were asked answered; 3 servers of its version, 2 usable, 0 of these trusted; its origin is doubted. On its route then: 8 of 9 new streams began, 1 of 4 resumed ones went on.")
}
