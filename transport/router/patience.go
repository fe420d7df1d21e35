package router

import (
	"net/http"
	"time"
)

// patientWriter gives the caller a bounded time to take each part of the
// answer, so that a caller who stopped reading does not hold a slot.
type patientWriter struct {
	http.ResponseWriter
	limit time.Duration
	until time.Time
}

func newPatientWriter(w http.ResponseWriter, limit time.Duration) *patientWriter {
	p := &patientWriter{ResponseWriter: w, limit: limit}
	// The connection may still have the deadline of an earlier request.
	p.extend()
	return p
}

// extend moves the deadline. It moves in steps, since moving it costs.
func (w *patientWriter) extend() {
	now := time.Now()
	if w.until.Sub(now) < w.limit/2 {
		w.until = now.Add(w.limit)
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.until)
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *patientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *patientWriter) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *patientWriter) Write(p []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(p)
}
