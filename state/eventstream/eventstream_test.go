package eventstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestTheLongestPauseIsThatBetweenEvents(t *testing.T) {
	var f Follower
	f.PassedOn(start, []byte("id: 1\n\n"))
	f.PassedOn(start.Add(time.Second), []byte(": no event\n"))
	f.PassedOn(start.Add(3*time.Second), []byte("id: 2\n\nid: 3\n\n"))
	f.PassedOn(start.Add(4*time.Second), []byte("id: 4\n\n"))
	qt.Check(t, f.Pause(), qt.Equals, 3*time.Second)
	qt.Check(t, f.Count(), qt.Equals, 4)
}

func TestAnEventThatIsNotWholeIsHeldBack(t *testing.T) {
	var f Follower
	qt.Check(t, string(f.Whole([]byte("id: 1\ndata: id: 9\n\nid: 2\nda"))), qt.Equals, "id: 1\ndata: id: 9\n\n")
	qt.Check(t, f.LastEvent(), qt.Equals, "1")
	qt.Check(t, string(f.Rest()), qt.Equals, "id: 2\nda")
	qt.Check(t, string(f.Whole([]byte("ta: x\n"))), qt.Equals, "")
	f.Restart()
	qt.Check(t, string(f.Whole([]byte("id: 2\n\n"))), qt.Equals, "id: 2\n\n")
	qt.Check(t, f.LastEvent(), qt.Equals, "2")
}

// However a stream is cut into pieces, its events come whole and in order.
func TestPiecesMakeWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 33\ndata: c\n\n"
		var f Follower
		got := ""
		for at := 0; at < len(stream); {
			n := min(rapid.IntRange(1, 12).Draw(t, "piece"), len(stream)-at)
			got += string(f.Whole([]byte(stream[at : at+n])))
			at += n
		}
		if got != stream || f.LastEvent() != "33" || len(f.Rest()) != 0 {
			t.Fatalf("%q, last %q, rest %q", got, f.LastEvent(), f.Rest())
		}
	})
}
