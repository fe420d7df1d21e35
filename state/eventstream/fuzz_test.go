package eventstream

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// seen is what a stream holds, by the slow reader.
type seen struct {
	events int
	// id of the last event, named: it has one that may be resumed after.
	id    string
	named bool
	// safe is how far no event is under way, inside: the text ends inside one.
	safe   int
	inside bool
}

// readSlowly reads the whole text by the letter of the standard: it decides line by line, and
// knows nothing of pieces.
func readSlowly(text string) seen {
	var s seen
	fields, id, named := 0, "", false
	at := 0
	if strings.HasPrefix(text, "\uFEFF") {
		at = len("\uFEFF")
	}
	for {
		line, size, whole := firstLine(text[at:])
		if !whole {
			s.inside = fields > 0 || line != ""
			return s
		}
		at += size
		switch name, value, _ := strings.Cut(line, ":"); {
		case line == "":
			if fields > 0 {
				s.events, s.id, s.named = s.events+1, id, named
			}
			fields, id, named = 0, "", false
		case name == "":
			// A comment.
		default:
			fields++
			if name == "id" && !strings.Contains(value, "\x00") {
				id = strings.TrimPrefix(value, " ")
				named = id != "" && len(line) <= lineKept
			}
		}
		if fields == 0 {
			s.safe = at
		}
	}
}

// firstLine returns the first line of the text and its size with its end.
func firstLine(text string) (line string, size int, whole bool) {
	for i, b := range []byte(text) {
		switch {
		case b == '\n':
			return text[:i], i + 1, true
		case b == '\r' && strings.HasPrefix(text[i+1:], "\n"):
			return text[:i], i + 2, true
		case b == '\r':
			return text[:i], i + 1, true
		}
	}
	return text, len(text), false
}

// Whatever a server sends, in whatever pieces: the follower counts, names and cuts the events as
// a reader of the whole text does.
func FuzzPieces(f *testing.F) {
	for _, text := range []string{
		"", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r", ":c\r\rid:1\r\rdata", "\uFEFFid: 1\n\n", "\uFEFF", "id\n\nid:\n\nid: \x00\n\n",
		"data: a\n: comment\n\n\n\n:\n", "\r\n\r\n\n\r", "id: " + strings.Repeat("9", lineKept) + "\n\n", "\uFEFF\uFEFFid: 1\n\n", "\xef\xbb", "id: 3\n\nid: 4\n\r\n",
	} {
		f.Add([]byte(text), []byte{1, 1, 2, 1, 1, 3, 1, 1, 1, 1})
		f.Add([]byte(text), []byte{200})
	}
	f.Fuzz(func(t *testing.T, text, cuts []byte) {
		var follower Follower
		var passed []byte
		for rest := text; len(rest) > 0; {
			n := len(rest)
			if len(cuts) > 0 {
				n, cuts = min(int(cuts[0])+1, n), cuts[1:]
			}
			out, err := follower.Take(rest[:n])
			qt.Assert(t, err, qt.IsNil)
			passed = append(passed, out...)
			rest = rest[n:]
		}
		want := readSlowly(string(text))
		last := follower.last
		comment := qt.Commentf("%q", text)
		qt.Check(t, follower.Events(), qt.Equals, want.events, comment)
		qt.Check(t, last.IsNamed, qt.Equals, want.named, comment)
		if want.named {
			qt.Check(t, string(last.ID), qt.Equals, want.id, comment)
		}
		qt.Check(t, follower.IsInside(), qt.Equals, want.inside, comment)
		if len(text) < mostHeld {
			qt.Check(t, bytes.Equal(append(passed, follower.Rest()...), text), qt.IsTrue, comment)
			// A line end of two bytes may be passed on in two pieces.
			atMost := bytes.HasSuffix(text[:want.safe], []byte("\r\n"))
			isSafe := len(passed) == want.safe || atMost && len(passed) == want.safe-1
			qt.Check(t, isSafe || want.safe == len("\uFEFF"), qt.IsTrue, qt.Commentf("%q: passed %d, safe %d", text, len(passed), want.safe))
		}
	})
}
