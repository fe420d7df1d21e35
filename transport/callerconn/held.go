package callerconn

import (
	"net"
	"net/http"

	"goldcrestport/transport/revocable"
)

// ResetUnlessWhole returns a handler whose answers to callers on HTTP/1.0 end by a reset unless
// it returns. Such a caller gets no chunks and knows the end of an answer without a length by that
// of its connection: a cut, a panic or the end of the process must not look like it. The
// connection is that of WithConn.
func ResetUnlessWhole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, req)
			return
		}
		held := &heldWriter{ResponseWriter: w, conn: Of(req.Context())}
		h.ServeHTTP(held, req)
		held.settle()
	})
}

// heldWriter holds the connection of an answer without a length from its head on.
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

// settle lets the connection end in good order once the answer was written. That of an answer
// that was cut is closed already.
func (w *heldWriter) settle() {
	if w.isHeld && http.NewResponseController(w.ResponseWriter).Flush() == nil {
		revocable.Settle(w.conn)
	}
}
