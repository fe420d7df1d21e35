package observe

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowWriter delays each write.
type slowWriter struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (s *slowWriter) Write(line []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(line)
}

// Guards against losing the last log lines of a process, such as why it ended a
// request at shutdown: lines are written in the background.
func TestFlushWritesPendingLines(t *testing.T) {
	to := &slowWriter{}
	w := NewWriter(to)
	for i := range 20 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	qt.Check(t, w.Flush(time.Second), qt.IsTrue)
	to.mu.Lock()
	defer to.mu.Unlock()
	qt.Check(t, to.data.String(), qt.Contains, "line 19\n")
}

// Guards against a stalled log reader that delays shutdown beyond the bound.
func TestFlushIsBounded(t *testing.T) {
	stalled := make(chan struct{})
	defer close(stalled)
	w := NewWriter(writerFunc(func(line []byte) (int, error) {
		<-stalled
		return len(line), nil
	}))
	_, _ = w.Write([]byte("line\n"))
	start := time.Now()
	qt.Check(t, w.Flush(30*time.Millisecond), qt.IsFalse)
	qt.Check(t, time.Since(start) < time.Second, qt.IsTrue)
}

type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(line []byte) (int, error) { return f(line) }
