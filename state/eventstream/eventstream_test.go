package eventstream

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// forward processes the data and records the result as forwarded.
func (f *Follower) forward(now time.Time, data string) string {
	out, _ := f.Take([]byte(data))
	f.PassedOn(now)
	return string(out)
}

func TestPauseIsMeasuredBetweenEvents(t *testing.T) {
	var f Follower
	f.forward(start, "id: 1\n\n")
	f.forward(start.Add(time.Second), ": no event\n")
	f.forward(start.Add(3*time.Second), "id: 2\n\nid: 3\n\n")
	f.forward(start.Add(4*time.Second), "id: 4\n\n")
	qt.Check(t, f.Pause(), qt.Equals, 3*time.Second)
	qt.Check(t, f.Count(), qt.Equals, 4)
}

func TestIncompleteEventIsBuffered(t *testing.T) {
	var f Follower
	qt.Check(t, f.forward(start, "id: 1\ndata: id: 9\n\nid: 2\nda"), qt.Equals, "id: 1\ndata: id: 9\n\n")
	qt.Check(t, f.LastEvent(), qt.Equals, "1")
	qt.Check(t, string(f.Rest()), qt.Equals, "id: 2\nda")
	qt.Check(t, f.forward(start, "ta: x\n"), qt.Equals, "")
	f.Restart()
	qt.Check(t, f.forward(start, "id: 2\n\n"), qt.Equals, "id: 2\n\n")
	qt.Check(t, f.LastEvent(), qt.Equals, "2")
}

// Events are forwarded complete and in order, however the stream is split into chunks, for
// each line ending of the standard.
func TestChunksAreReassembledIntoEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const plain = "id: 1\ndata: a\n\n: comment\nid: 2\ndata: b\ndata: c\n\nid: 33\ndata: d\n\n"
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		stream := strings.ReplaceAll(plain, "\n", lineEnd)
		var f Follower
		got := ""
		for at := 0; at < len(stream); {
			n := min(rapid.IntRange(1, 12).Draw(t, "piece"), len(stream)-at)
			part := f.forward(start, stream[at:at+n])
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

// An event of any length is forwarded completely with bounded memory.
func TestLongEventIsForwardedInPieces(t *testing.T) {
	var f Follower
	event := "id: 1\ndata: " + strings.Repeat("x", 3*maxBuffered) + "\n\nid: 2\n\n"
	got := ""
	for at := 0; at < len(event); at += 1000 {
		got += f.forward(start, event[at:min(at+1000, len(event))])
		qt.Assert(t, len(f.Rest()) <= maxBuffered, qt.IsTrue)
	}
	qt.Check(t, got == event, qt.IsTrue)
	qt.Check(t, f.Count(), qt.Equals, 2)
	qt.Check(t, f.LastEvent(), qt.Equals, "2")
}

// A server that resumes a stream may send anything: only events that follow the last one that
// the caller received are forwarded.
func TestOnlyFollowingEventsAreForwardedAfterRestart(t *testing.T) {
	for name, tc := range map[string]struct {
		received, next, forwarded string
		err                       error
	}{
		"the next":                    {"id: 9\n\n", "id: 10\n\nid: 11\n\n", "id: 10\n\nid: 11\n\n", nil},
		"a later one":                 {"id: 9\n\n", "id: 12\n\n", "id: 12\n\n", nil},
		"the next of a sequence":      {"id: 8\n\nid: 9\n\n", "id: 10\n\nid: 12\n\n", "id: 10\n\nid: 12\n\n", nil},
		"a gap in a sequence":         {"id: 8\n\nid: 9\n\n", "id: 11\n\n", "", ErrNotContinued},
		"a step, ids not consecutive": {"id: 7\n\nid: 9\n\n", "id: 11\n\n", "id: 11\n\n", nil},
		"the same":                    {"id: 9\n\n", "id: 9\n\nid: 10\n\n", "", ErrNotContinued},
		"the same, zero-padded":       {"id: 9\n\n", "id: 09\n\n", "", ErrNotContinued},
		"the first":                   {"id: 9\n\n", "id: 1\n\n", "", ErrNotContinued},
		"a later one repeated":        {"id: 9\n\n", "id: 10\n\nid: 10\n\n", "id: 10\n\n", ErrNotContinued},
		"one without id":              {"id: 9\n\n", "data: x\n\n", "", ErrNotContinued},
		"non-numeric id":              {"id: 9\n\n", "id: x\n\n", "", ErrNotContinued},
		"a comment, and the next":     {"id: 9\n\n", ": c\n\nid: 10\n\n", ": c\n\nid: 10\n\n", nil},
		"byte order mark":             {"id: 9\n\n", "\uFEFFid: 10\n\n", "id: 10\n\n", nil},
		"greater than 64 bits":        {"id: 18446744073709551615\n\n", "id: 18446744073709551616\n\n", "id: 18446744073709551616\n\n", nil},
		"too long to buffer":          {"id: 9\n\n", "data: " + strings.Repeat("x", 2*maxBuffered) + "\nid: 10\n\n", "", ErrNotContinued},
		"anything, after no event":    {": c\n", "data: x\n\n", "data: x\n\n", nil},
	} {
		for _, size := range []int{1, 7, 4096} {
			var f Follower
			f.Restart()
			f.forward(start, tc.received+"id: 99\nda")
			f.Restart()
			var err error
			forwarded := ""
			for at := 0; at < len(tc.next) && err == nil; at += size {
				var out []byte
				out, err = f.Take([]byte(tc.next[at:min(at+size, len(tc.next))]))
				forwarded += string(out)
				f.PassedOn(start)
			}
			qt.Check(t, err, qt.Equals, tc.err, qt.Commentf(name))
			qt.Check(t, forwarded, qt.Equals, tc.forwarded, qt.Commentf("%s, %d at a time", name, size))
		}
	}
}

// Another server can resume only after complete events, the last of which has a numeric id.
func TestStreamCanResumeOnlyAfterNumberedEvent(t *testing.T) {
	for received, want := range map[string]bool{
		"": true, "id": true, ": c\n": true, "id: 1\n\n": true, "id: 1\n\nid": true,
		"data: x\n\n": false, "id: 1\n\ndata: x\n\n": false, "id: x\n\n": false, "data: " + strings.Repeat("x", maxBuffered): false,
	} {
		var f Follower
		f.Restart()
		f.forward(start, received)
		qt.Check(t, f.CanGoOn(), qt.Equals, want, qt.Commentf("%.20q", received))
	}
}

// A stream that goes on without completing an event ends, and little of it is kept; one whose events are
// long, or that sends comments between them, goes on.
func TestAStreamWithoutEventsEnds(t *testing.T) {
	for name, piece := range map[string]string{"data": "x", "fields": "data: x\n", "comments": ": x\n", "empty lines": "\n", "returns": "\r"} {
		for _, isContinued := range []bool{false, true} {
			var f Follower
			_, err := f.Take([]byte("id: 1\n\n"))
			qt.Assert(t, err, qt.IsNil)
			f.PassedOn(time.Now())
			if isContinued {
				f.Restart()
			}
			block, sent, most := []byte(strings.Repeat(piece, 4<<10/len(piece))), 0, 0
			for err == nil && sent < 2*maxSinceEvent {
				_, err = f.Take(block)
				sent += len(block)
				most = max(most, cap(f.buffered)+cap(f.out))
			}
			comment := qt.Commentf("%s, continued %v: %v after %d bytes, %d kept", name, isContinued, err, sent, most)
			qt.Check(t, errors.Is(err, ErrEndless) || isContinued && errors.Is(err, ErrNotContinued), qt.IsTrue, comment)
			qt.Check(t, most <= 2*maxBuffered, qt.IsTrue, comment)
		}
	}
	var f Follower
	for range 5 {
		_, err := f.Take([]byte("id: 1\ndata: " + strings.Repeat("x", maxSinceEvent-100) + "\n\n"))
		qt.Assert(t, err, qt.IsNil)
		_, err = f.Take([]byte(strings.Repeat(": x\n\n", 10)))
		qt.Assert(t, err, qt.IsNil)
	}
}

// A server that sent comments without end is followed by no other one within the same stream: its caller
// would get them before the first event. A few comments that keep a connection alive forbid nothing.
func TestCommentsWithoutEndForbidResuming(t *testing.T) {
	for _, tc := range []struct {
		bytes int
		want  bool
	}{{100, true}, {maxCommentBytes + 1, false}, {1 << 20, false}} {
		var f Follower
		for sent := 0; sent < tc.bytes; sent += 4 {
			_, err := f.Take([]byte(": c\n"))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, f.CanGoOn(), qt.Equals, tc.want, qt.Commentf("%d bytes of comments", tc.bytes))
	}
	var f Follower
	_, err := f.Take([]byte("id: 1\ndata: " + strings.Repeat("a", 2*maxCommentBytes)))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, f.CanGoOn(), qt.IsTrue, qt.Commentf("an incomplete event was kept back"))
}
