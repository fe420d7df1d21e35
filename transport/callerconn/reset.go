package callerconn

import (
	"net"
	"net/http"

	"goldcrestport/transport/revocable"
)

// ResetUnlessWhole returns a handler that resets the connection of an HTTP/1.0 caller unless h
// returns. Such a caller gets no chunked responses and takes the close of its connection for the
// end of a response without a length: a truncated response, a panic or the end of the process
// must not look like that. The connection is taken from WithConn.
func ResetUnlessWhole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, req)
			return
		}
		rw := &resetWriter{ResponseWriter: w, conn: Of(req.Context())}
		h.ServeHTTP(rw, req)
		rw.settle()
	})
}

// resetWriter makes the connection of a response without a length end with a reset, from the
// response header on.
type resetWriter struct {
	http.ResponseWriter
	conn          net.Conn
	headerWritten bool
	resetsOnClose bool
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *resetWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *resetWriter) WriteHeader(status int) {
	if !w.headerWritten && w.Header().Get("Content-Length") == "" {
		revocable.Hold(w.conn)
		w.resetsOnClose = true
	}
	w.headerWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *resetWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// settle lets the connection close normally once the response was written. The connection of a
// response that was cut off is already closed.
func (w *resetWriter) settle() {
	if w.resetsOnClose && http.NewResponseController(w.ResponseWriter).Flush() == nil {
		revocable.Settle(w.conn)
	}
}
