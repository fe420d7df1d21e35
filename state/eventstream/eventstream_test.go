package eventstream

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// pass takes the data and passes on what comes of it.
func (f *Follower) pass(now time.Time, data string) string {
	out, _ := f.Take([]byte(data))
	f.PassedOn(now)
	return string(out)
}

func TestTheLongestPauseIsThatBetweenEvents(t *testing.T) {
	var f Follower
	f.pass(start, "id: 1\n\n")
	f.pass(start.Add(time.Second), ": no event\n")
	f.pass(start.Add(3*time.Second), "id: 2\n\nid: 3\n\n")
	f.pass(start.Add(4*time.Second), "id: 4\n\n")
	qt.Check(t, f.Pause(), qt.Equals, 3*time.Second)
	qt.Check(t, f.Count(), qt.Equals, 4)
}

func TestAnEventThatIsNotWholeIsHeldBack(t *testing.T) {
	var f Follower
	qt.Check(t, f.pass(start, "id: 1\ndata: id: 9\n\nid: 2\nda"), qt.Equals, "id: 1\ndata: id: 9\n\n")
	qt.Check(t, f.LastEvent(), qt.Equals, "1")
	qt.Check(t, string(f.Rest()), qt.Equals, "id: 2\nda")
	qt.Check(t, f.pass(start, "ta: x\n"), qt.Equals, "")
	f.Restart()
	qt.Check(t, f.pass(start, "id: 2\n\n"), qt.Equals, "id: 2\n\n")
	qt.Check(t, f.LastEvent(), qt.Equals, "2")
}

// However a stream is cut into pieces, its events come whole and in order, by each line end of
// the standard.
func TestPiecesMakeWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const plain = "id: 1\ndata: a\n\n: comment\nid: 2\ndata: b\ndata: c\n\nid: 33\ndata: d\n\n"
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		stream := strings.ReplaceAll(plain, "\n", lineEnd)
		var f Follower
		got := ""
		for at := 0; at < len(stream); {
			n := min(rapid.IntRange(1, 12).Draw(t, "piece"), len(stream)-at)
			part := f.pass(start, stream[at:at+n])
			if part != "" && f.IsInside() != (len(f.Rest()) > 0) {
				t.Fatalf("inside %v, rest %q", f.IsInside(), f.Rest())
			}
			got += part
			at += n
		}
		if got != stream || f.LastEvent() != "33" || len(f.Rest()) != 0 || f.Count() != 3 {
			t.Fatalf("%q, last %q, rest %q", got, f.LastEvent(), f.Rest())
		}
	})
}

// An event of any length takes bounded memory, and is passed on whole.
func TestALongEventIsPassedOnInPieces(t *testing.T) {
	var f Follower
	event := "id: 1\ndata: " + strings.Repeat("x", 3*mostHeld) + "\n\nid: 2\n\n"
	got := ""
	for at := 0; at < len(event); at += 1000 {
		got += f.pass(start, event[at:min(at+1000, len(event))])
		qt.Assert(t, len(f.Rest()) <= mostHeld, qt.IsTrue)
	}
	qt.Check(t, got == event, qt.IsTrue)
	qt.Check(t, f.Count(), qt.Equals, 2)
	qt.Check(t, f.LastEvent(), qt.Equals, "2")
}

// What may follow the last event that a caller has, and what may not: a server that is asked to
// go on may do anything.
func TestWhatAStreamMayGoOnWith(t *testing.T) {
	for name, tc := range map[string]struct {
		had, next, passed string
		err               error
	}{
		"the next":                   {"id: 9\n\n", "id: 10\n\nid: 11\n\n", "id: 10\n\nid: 11\n\n", nil},
		"a later one":                {"id: 9\n\n", "id: 12\n\n", "id: 12\n\n", nil},
		"the next of a row":          {"id: 8\n\nid: 9\n\n", "id: 10\n\nid: 12\n\n", "id: 10\n\nid: 12\n\n", nil},
		"a gap in a row":             {"id: 8\n\nid: 9\n\n", "id: 11\n\n", "", ErrNotContinued},
		"a step of no row":           {"id: 7\n\nid: 9\n\n", "id: 11\n\n", "id: 11\n\n", nil},
		"the same":                   {"id: 9\n\n", "id: 9\n\nid: 10\n\n", "", ErrNotContinued},
		"the same with a zero":       {"id: 9\n\n", "id: 09\n\n", "", ErrNotContinued},
		"the first":                  {"id: 9\n\n", "id: 1\n\n", "", ErrNotContinued},
		"one twice, later":           {"id: 9\n\n", "id: 10\n\nid: 10\n\n", "id: 10\n\n", ErrNotContinued},
		"one without id":             {"id: 9\n\n", "data: x\n\n", "", ErrNotContinued},
		"one whose id is no number":  {"id: 9\n\n", "id: x\n\n", "", ErrNotContinued},
		"a comment, and the next":    {"id: 9\n\n", ": c\n\nid: 10\n\n", ": c\n\nid: 10\n\n", nil},
		"a mark of the order":        {"id: 9\n\n", "\uFEFFid: 10\n\n", "id: 10\n\n", nil},
		"greater than any word":      {"id: 18446744073709551615\n\n", "id: 18446744073709551616\n\n", "id: 18446744073709551616\n\n", nil},
		"too long to look at its id": {"id: 9\n\n", "data: " + strings.Repeat("x", 2*mostHeld) + "\nid: 10\n\n", "", ErrNotContinued},
		"anything, after no event":   {": c\n", "data: x\n\n", "data: x\n\n", nil},
	} {
		for _, size := range []int{1, 7, 4096} {
			var f Follower
			f.Restart()
			f.pass(start, tc.had+"id: 99\nda")
			f.Restart()
			var err error
			passed := ""
			for at := 0; at < len(tc.next) && err == nil; at += size {
				var out []byte
				out, err = f.Take([]byte(tc.next[at:min(at+size, len(tc.next))]))
				passed += string(out)
				f.PassedOn(start)
			}
			qt.Check(t, err, qt.Equals, tc.err, qt.Commentf(name))
			qt.Check(t, passed, qt.Equals, tc.passed, qt.Commentf("%s, %d at a time", name, size))
		}
	}
}

// After what another server may go on: only after whole events, the last of which says by its
// id what comes later.
func TestAfterWhatAStreamCanGoOn(t *testing.T) {
	for had, want := range map[string]bool{
		"": true, "id": true, ": c\n": true, "id: 1\n\n": true, "id: 1\n\nid": true,
		"data: x\n\n": false, "id: 1\n\ndata: x\n\n": false, "id: x\n\n": false, "data: " + strings.Repeat("x", mostHeld): false,
	} {
		var f Follower
		f.Restart()
		f.pass(start, had)
		qt.Check(t, f.CanGoOn(), qt.Equals, want, qt.Commentf("%.20q", had))
	}
}
