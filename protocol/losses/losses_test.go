package losses

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The lines were recorded from direct routers: three requests served, four
// refused, one cut, one whose caller left, two late, one line of another event,
// one truncated line, and one that is no log line.
func TestRecordedLinesAreCounted(t *testing.T) {
	f, err := os.Open("testdata/router.log")
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	got, err := Read(f, []Dimension{ByOutcome})
	qt.Assert(t, err, qt.IsNil)
	counts := map[string]int{}
	for _, g := range got.Groups {
		counts[g.Values[0]] = g.Count
	}
	qt.Check(t, counts, qt.DeepEquals, map[string]int{"served": 3, "refused": 4, "cut": 1, "left": 1, "late": 2})
	qt.Check(t, got.Lines, qt.Equals, 14)
	qt.Check(t, got.Requests, qt.Equals, 11)
	qt.Check(t, got.Broken, qt.Equals, 2)
	total := 0
	for _, s := range got.Second {
		total += s.Served + s.Late + s.Refused + s.Lost
	}
	qt.Check(t, total, qt.Equals, 11)
}

func line(second, extra string) string {
	return fmt.Sprintf("ts=2026-01-01T00:00:%sZ id=r1 event=request_ended route=a team=t standing=2 prompt=5000 wait_ms=40 limit_ms=20 unread=900 why=queue-full status=503 left_out=2 %s\n", second, extra)
}

// A group's decision inputs are means over its requests, and lines that routers
// omitted are counted.
func TestGroupsHoldDecisionInputs(t *testing.T) {
	log := line("01", "") + line("03", "") + strings.ReplaceAll(line("02", ""), "wait_ms=40", "wait_ms=100")
	got, err := Read(strings.NewReader(log), []Dimension{ByOutcome, ByReason, ByTeam, ByStanding, BySize, ByRouter})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Groups, qt.HasLen, 1)
	g := got.Groups[0]
	qt.Check(t, g.Values, qt.DeepEquals, []string{"refused", "queue-full", "t", "beyond", "<16k", "r1"})
	qt.Check(t, g.Count, qt.Equals, 3)
	qt.Check(t, g.WaitMs, qt.Equals, 60.0)
	qt.Check(t, g.Unread, qt.Equals, 900.0)
	qt.Check(t, g.First.Second(), qt.Equals, 1)
	qt.Check(t, g.Last.Second(), qt.Equals, 3)
	qt.Check(t, got.LeftOut, qt.Equals, 6)
	qt.Check(t, got.Second, qt.HasLen, 3)
}

func TestInvalidInputIsRejected(t *testing.T) {
	for _, text := range []string{"", "hello\nworld\n", "\x00\x01\x02"} {
		_, err := Read(strings.NewReader(text), []Dimension{ByOutcome})
		qt.Check(t, err, qt.ErrorIs, ErrNoLog)
	}
	_, err := ParseDimensions("outcome,colour")
	qt.Check(t, err, qt.ErrorMatches, `unknown dimension "colour".*`)
}

// A line longer than the bound counts as broken, and the next one is read.
func TestLongLinesCountAsBroken(t *testing.T) {
	got, err := Read(strings.NewReader(line("01", strings.Repeat("x", 200<<10))+line("02", "")), []Dimension{ByOutcome})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Broken, qt.Equals, 1)
	qt.Check(t, got.Requests, qt.Equals, 1)
}

// Guards against unbounded memory use on a log with ever new groups.
func TestGroupsAreBounded(t *testing.T) {
	tally := newTally([]Dimension{ByTeam})
	for i := range maxGroups + 10 {
		tally.addLine([]byte(strings.ReplaceAll(line("01", ""), "team=t", fmt.Sprint("team=t", i))))
	}
	qt.Check(t, tally.groups, qt.HasLen, maxGroups)
	qt.Check(t, tally.Beyond, qt.Equals, 10)
}

// A stream that its server broke off has a reason of its own, even if the caller received
// it as complete.
func TestBrokenStreamsHaveOwnReason(t *testing.T) {
	const ended = "event=request_ended route=a why=\"cut: unexpected EOF\" status=0"
	for name, tc := range map[string]struct {
		line    string
		outcome Outcome
		reason  string
	}{
		"inside an event":  {ended + " answer=connection/closed inside_event=true", Cut, "broke off: connection/closed inside an event"},
		"chunks, closed":   {ended + " answer=chunks/closed inside_event=false", Cut, "broke off: chunks/closed"},
		"a server is gone": {ended + " answer=connection/closed inside_event=false server_then=refuses", Cut, "broke off: connection/closed, server gone"},
		"by the router":    {ended + " answer=chunks/given-up inside_event=true", Cut, "cut"},
		"before the sight": {ended, Cut, "cut"},
		"told as whole":    {"event=request_completed route=a status=200 answer=connection/closed inside_event=true", Cut, "broke off: connection/closed inside an event, told as whole"},
		"whole":            {"event=request_completed route=a status=200 answer=connection/closed inside_event=false", Served, ""},
	} {
		got, err := Read(strings.NewReader("ts=2026-01-01T00:00:01Z id=r1 left_out=0 "+tc.line+"\n"), []Dimension{ByOutcome, ByReason})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Groups, qt.HasLen, 1, qt.Commentf(name))
		qt.Check(t, got.Groups[0].Values, qt.DeepEquals, []string{string(tc.outcome), tc.reason}, qt.Commentf(name))
	}
}

// The last line of a log that is still being written may be truncated before its last key.
// It must count as broken, not as a request.
func TestTruncatedLineIsNoRequest(t *testing.T) {
	whole := "ts=2026-01-01T00:00:01Z id=r1 event=request_completed route=a answer=chunks/marked status=200 left_out=0\n"
	cut := strings.Index(whole, "left_out=") + len("left_out=")
	for at := strings.Index(whole, "event=") + len("event=request_completed "); at <= cut; at++ {
		got, err := Read(strings.NewReader(line("00", "")+whole[:at]), []Dimension{ByOutcome})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got.Requests, qt.Equals, 1, qt.Commentf("%q", whole[:at]))
		qt.Check(t, got.Broken, qt.Equals, 1, qt.Commentf("%q", whole[:at]))
	}
}
