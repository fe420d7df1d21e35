package router

import (
	"net/http"
	"time"
)

// deadlineWriter limits the time a caller may take to read each part of the
// answer, so that a caller that stopped reading does not occupy a slot.
type deadlineWriter struct {
	http.ResponseWriter
	limit    time.Duration
	deadline time.Time
}

func newDeadlineWriter(w http.ResponseWriter, limit time.Duration) *deadlineWriter {
	p := &deadlineWriter{ResponseWriter: w, limit: limit}
	// The connection may still have the write deadline of an earlier request.
	p.extend()
	return p
}

// extend moves the write deadline. It does so only when less than half of the
// limit is left, since each move costs.
func (w *deadlineWriter) extend() {
	now := time.Now()
	if w.deadline.Sub(now) < w.limit/2 {
		w.deadline = now.Add(w.limit)
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.deadline)
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *deadlineWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(p)
}
