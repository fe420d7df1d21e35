package eventstream

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Checks events, last id and position for the line endings, comments and fields of the
// standard, with the stream split at every byte.
func TestPositionFollowsTheStandard(t *testing.T) {
	for _, tc := range []struct {
		stream string
		events int
		last   string
		inside bool
	}{
		{"", 0, "", false},
		{"data: x\n\n", 1, "", false},
		{"id: 1\ndata: x\n\n", 1, "1", false},
		{"id:1\rdata: x\r\r", 1, "1", false},
		{"id: 1\r\ndata: x\r\n\r\n", 1, "1", false},
		{"id: 1\r\ndata: x\r\n\r", 1, "1", false},
		{"id: 1\ndata: x\ndata: y\n\nid: 2\ndata: z\n\n", 2, "2", false},
		{"id: 1\n\n\n\nid: 2\n\n", 2, "2", false},
		{"data: x\n", 0, "", true},
		{"data: x", 0, "", true},
		{"id: 1\ndata: x\n\nd", 1, "1", true},
		{"id: 1\n\nid: 2\n", 1, "1", true},
		{": comment\n", 0, "", false},
		{": comment", 0, "", true},
		{"data: x\n: comment\n", 0, "", true},
		{": a\n\n: b\n\n", 0, "", false},
		{"\uFEFFid: 1\n\n", 1, "1", false},
		{"\uFEFF", 0, "", false},
		{"id: 1\n\ndata: unnamed\n\n", 2, "", false},
		{"id: 1\n\nid\ndata: reset\n\n", 2, "", false},
		{"id:  1\n\n", 1, " 1", false},
		{"id: 1\x00\n\n", 1, "", false},
		{"ident: 1\n\n", 1, "", false},
		{" id: 1\n\n", 1, "", false},
		{"data: id: 9\n\n", 1, "", false},
		{"id: 1\nid: 2\n\n", 1, "2", false},
		{"id: " + strings.Repeat("7", 2*maxLineBuffered) + "\n\n", 1, "", false},
	} {
		for cut := range len(tc.stream) + 1 {
			var f Follower
			f.Take([]byte(tc.stream[:cut]))
			f.Take([]byte(tc.stream[cut:]))
			comment := qt.Commentf("%.40q cut at %d", tc.stream, cut)
			qt.Assert(t, f.Events(), qt.Equals, tc.events, comment)
			qt.Assert(t, f.LastEvent(), qt.Equals, tc.last, comment)
			qt.Assert(t, f.IsInside(), qt.Equals, tc.inside, comment)
		}
	}
}
