package eventstream

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against many streams that hold long events together: an event for which there is no memory is forwarded in
// pieces, and what a long one took is given back once it was forwarded.
func TestLongEventsAskForTheirMemory(t *testing.T) {
	for _, isGranted := range []bool{true, false} {
		var f Follower
		asked, held := 0, int64(0)
		f.SetHold(func(bytes int64) bool {
			asked++
			if bytes == 0 || isGranted {
				held = bytes
				return true
			}
			return false
		})
		got := f.forward(start, "id: 1\ndata: x\n\n")
		qt.Check(t, asked, qt.Equals, 0)
		text := "id: 2\ndata: " + strings.Repeat("y", 100<<10) + "\n\n"
		inPieces := false
		for part := text; part != ""; part = part[min(4096, len(part)):] {
			out := f.forward(start, part[:min(4096, len(part))])
			inPieces = inPieces || out != "" && len(out) < len(text)
			got += out
			qt.Check(t, held >= 0 && held <= 2*2*maxBuffered, qt.IsTrue)
		}
		qt.Check(t, got, qt.Equals, "id: 1\ndata: x\n\n"+text)
		qt.Check(t, inPieces, qt.Equals, !isGranted)
		qt.Check(t, asked > 0, qt.IsTrue)
		got = f.forward(start, "id: 3\ndata: z\n\n")
		qt.Check(t, got, qt.Equals, "id: 3\ndata: z\n\n")
		qt.Check(t, held, qt.Equals, int64(0))
	}
}

// A stream that goes on after events of another answer is not forwarded in pieces: without memory it ends.
func TestAContinuedStreamWithoutMemoryEnds(t *testing.T) {
	var f Follower
	f.SetHold(func(bytes int64) bool { return bytes == 0 })
	f.forward(start, "id: 1\n\nid: 2\n\n")
	f.Restart()
	_, err := f.Take([]byte("id: 3\ndata: " + strings.Repeat("y", 2*freeBuffered)))
	qt.Check(t, err, qt.Equals, ErrNotContinued)
}
