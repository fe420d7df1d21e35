package eventstream

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// referenceResult is the content of a stream according to the reference parser.
type referenceResult struct {
	events int
	// id is the id of the last event; named reports whether the stream may be resumed after it.
	id    string
	named bool
	// safe is the end of the last line after which no event is incomplete; inside reports
	// whether the text ends inside an event.
	safe   int
	inside bool
}

// parseReference is the reference parser: it parses the whole text line by line as the standard
// defines it, without support for chunks.
func parseReference(text string) referenceResult {
	var s referenceResult
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
				named = id != "" && len(line) <= maxLineBuffered
			}
		}
		if fields == 0 {
			s.safe = at
		}
	}
}

// firstLine returns the first line of the text and its size including the line ending.
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

// For any data in any chunks, the follower finds the same events, ids and event boundaries as
// the reference parser does in the whole text.
func FuzzPieces(f *testing.F) {
	for _, text := range []string{
		"", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r", ":c\r\rid:1\r\rdata", "\uFEFFid: 1\n\n", "\uFEFF", "id\n\nid:\n\nid: \x00\n\n",
		"data: a\n: comment\n\n\n\n:\n", "\r\n\r\n\n\r", "id: " + strings.Repeat("9", maxLineBuffered) + "\n\n", "\uFEFF\uFEFFid: 1\n\n", "\xef\xbb", "id: 3\n\nid: 4\n\r\n",
		// A long id that is ignored, as a null follows in the part of its line that is not buffered.
		"id: 1\nid: " + strings.Repeat("9", 2*maxLineBuffered) + "\x00\n\n",
	} {
		f.Add([]byte(text), []byte{1, 1, 2, 1, 1, 3, 1, 1, 1, 1})
		f.Add([]byte(text), []byte{200})
	}
	f.Fuzz(func(t *testing.T, text, chunkSizes []byte) {
		var follower Follower
		var forwarded []byte
		for rest := text; len(rest) > 0; {
			n := len(rest)
			if len(chunkSizes) > 0 {
				n, chunkSizes = min(int(chunkSizes[0])+1, n), chunkSizes[1:]
			}
			out, err := follower.Take(rest[:n])
			qt.Assert(t, err, qt.IsNil)
			forwarded = append(forwarded, out...)
			rest = rest[n:]
		}
		want := parseReference(string(text))
		last := follower.last
		comment := qt.Commentf("%q", text)
		qt.Check(t, follower.Events(), qt.Equals, want.events, comment)
		qt.Check(t, last.IsNamed, qt.Equals, want.named, comment)
		if want.named {
			qt.Check(t, string(last.ID), qt.Equals, want.id, comment)
		}
		qt.Check(t, follower.IsInside(), qt.Equals, want.inside, comment)
		if len(text) < maxBuffered {
			qt.Check(t, bytes.Equal(append(forwarded, follower.Rest()...), text), qt.IsTrue, comment)
			// A CRLF line ending may be forwarded in two pieces.
			endsWithCRLF := bytes.HasSuffix(text[:want.safe], []byte("\r\n"))
			isSafe := len(forwarded) == want.safe || endsWithCRLF && len(forwarded) == want.safe-1
			qt.Check(t, isSafe || want.safe == len("\uFEFF"), qt.IsTrue, qt.Commentf("%q: forwarded %d, safe %d", text, len(forwarded), want.safe))
		}
	})
}
