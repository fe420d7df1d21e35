package fairness

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func line(second int, router, team string, asked, begun int, rest string) string {
	return fmt.Sprintf("ts=2026-01-01T00:00:%02d.5Z id=%s event=team_use data_centre=dc-%s team=%s requests=10 asked=%d begun=%d delivered=%d %s left_out=0\n",
		second, router, router, team, asked, begun, begun, rest)
}

func windows(c *qt.C, lines ...string) []Result {
	log, err := Read(strings.NewReader(strings.Join(lines, "")))
	c.Assert(err, qt.IsNil)
	return log.Windows()
}

// One team gets a tenth of what it asks for while another one gets four times as much:
// the margin tells how far below the rule's bound it is, and where and why.
func TestTheMarginIsThatOfTheLeastServedTeam(t *testing.T) {
	c := qt.New(t)
	var lines []string
	for second := range 7 {
		lines = append(lines,
			line(second, "r1", "least", 1000, 100, "refused=too-many-connections:5,queue-full:2 unread=30 standing=0.50"),
			line(second, "r2", "best", 2000, 400, "refused=queue-full:5 unread=0 standing=2.00"),
			line(second, "r2", "calm", 50, 50, "refused= unread=0 standing=0.10"))
	}
	got := windows(c, lines...)
	c.Assert(got, qt.HasLen, 2)
	w := got[0]
	c.Check(w.Best, qt.Equals, "best")
	c.Check(w.Least, qt.Equals, "least")
	c.Check(w.Margin, qt.Equals, 0.5)
	for _, row := range w.Rows {
		switch row.Team {
		case "least":
			c.Check(row.Bound, qt.Equals, ByUnread)
			c.Check(row.Refused, qt.DeepEquals, map[Bound]int{ByStreams: 30, ByServer: 12})
			c.Check(row.Places[0].Place, qt.Equals, Place{DataCentre: "dc-r1", Router: "r1"})
		case "best":
			c.Check(row.Bound, qt.Equals, ByShare)
		case "calm":
			c.Check(row.Waited, qt.IsFalse)
		}
	}
}

// A team that was served at once in one of the seconds did not wait throughout.
func TestATeamThatWasServedForASecondDidNotWait(t *testing.T) {
	c := qt.New(t)
	var lines []string
	for second := range 6 {
		refused := "refused=queue-full:5 unread=0 standing=0.50"
		if second == 3 {
			refused = "refused= unread=0 standing=0.50"
		}
		lines = append(lines, line(second, "r1", "a", 1000, 1, refused))
	}
	got := windows(c, lines...)
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Least, qt.Equals, "")
}

// What lay unread is presumed to be of the size of what was read.
func TestConnectionsClosedUnreadCountAsAsked(t *testing.T) {
	u := Use{Asked: 1000, Requests: 10, Unread: 30}
	qt.Check(t, u.wanted(), qt.Equals, 4000.0)
}

func TestWhatIsNoLogIsSaidSo(t *testing.T) {
	for _, text := range []string{"", "hello\n", "ts=2026-01-01T00:00:01Z event=load\n"} {
		_, err := Read(strings.NewReader(text))
		qt.Check(t, err, qt.ErrorIs, ErrNoLog)
	}
}
