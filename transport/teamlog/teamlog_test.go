package teamlog

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/state/teamuse"
	"goldcrestport/transport/observe"
)

// recorded returns a recorder and the log lines that it writes.
func recorded() (*Recorder, *[]string) {
	var lines []string
	r := New("dc", observe.NewVars(), func(name string, keyvals ...any) {
		lines = append(lines, fmt.Sprint(append([]any{name}, keyvals...)...))
	},
		func(string) Standing { return Standing{Share: 1.5, Level: 1000} })
	return r, &lines
}

// Connections that were closed unread are counted for their team once an earlier request has
// shown the team of the caller's address.
func TestUnreadConnectionsAreCountedForTheirTeam(t *testing.T) {
	r, lines := recorded()
	from := netip.MustParseAddr("10.0.0.7")
	closed := r.TeamOf(from)
	r.Count(func(t *teamuse.Table) { t.Unread(closed) })
	r.Seen(from, "a")
	closed = r.TeamOf(from)
	r.Count(func(t *teamuse.Table) { t.Unread(closed) })
	r.write(time.Second)
	qt.Check(t, *lines, qt.HasLen, 2)
	qt.Check(t, r.totals.unread.Get("a").String(), qt.Equals, "1")
	qt.Check(t, r.totals.unread.Get("").String(), qt.Equals, "1")
}

// The number of lines is bounded: the teams that requested least are left out, and counted.
func TestLinesAreBounded(t *testing.T) {
	r, lines := recorded()
	for i := range 2 * maxLines {
		r.Count(func(t *teamuse.Table) { t.Asked(fmt.Sprint("t", i), float64(i)) })
	}
	r.write(time.Second)
	qt.Check(t, *lines, qt.HasLen, maxLines)
	qt.Check(t, (*lines)[0], qt.Contains, fmt.Sprint("left_out", maxLines))
	qt.Check(t, r.totals.asked.Get("t3").String(), qt.Equals, "3")
}
