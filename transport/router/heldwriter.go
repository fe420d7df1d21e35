package router

import (
	"net"
	"net/http"

	"goldcrestport/transport/revocable"
)

// heldWriter writes to a caller on HTTP/1.0, who knows the end of an answer without a length
// by that of its connection: each end but that of a whole answer is a reset.
type heldWriter struct {
	http.ResponseWriter
	conn   net.Conn
	begun  bool
	isHeld bool
}

// Unwrap lets http.ResponseController reach the connection.
func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *heldWriter) WriteHeader(status int) {
	if !w.begun && w.Header().Get("Content-Length") == "" {
		revocable.Hold(w.conn)
		w.isHeld = true
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *heldWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// whole lets the connection end in good order after an answer that was written whole.
func (w *heldWriter) whole() {
	if w.isHeld && http.NewResponseController(w.ResponseWriter).Flush() == nil {
		revocable.Settle(w.conn)
	}
}
