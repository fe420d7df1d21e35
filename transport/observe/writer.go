package observe

import (
	"expvar"
	"io"
)

// lineRing bounds the lines that wait for a slow reader.
const lineRing = 1024

// Writer passes lines on to a slower writer and never blocks: when the reader
// of the log stalls, lines are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped expvar.Int
}

// NewWriter returns a writer in front of w.
func NewWriter(w io.Writer) *Writer {
	out := &Writer{lines: make(chan []byte, lineRing)}
	go out.run(w)
	return out
}

// Write takes one line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Value() }

func (w *Writer) run(to io.Writer) {
	for line := range w.lines {
		for more := true; more; {
			select {
			case next := <-w.lines:
				line = append(line, next...)
				more = len(line) < 64<<10
			default:
				more = false
			}
		}
		// There is nobody to tell when the log itself fails.
		_, _ = to.Write(line)
	}
}
