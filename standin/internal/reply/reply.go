// Package reply holds helpers for HTTP handlers that the stand-ins share.
package reply

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
)

// JSON responds with a status and a value encoded as one line of JSON.
func JSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Error responds with a status and a reason.
func Error(w http.ResponseWriter, status int, reason string) {
	JSON(w, status, map[string]string{"error": reason})
}

// Abort closes the client's connection without completing the response.
func Abort(w http.ResponseWriter) { _ = Take(w).Close() }

// Reset resets the client's connection without completing the response.
func Reset(w http.ResponseWriter) {
	conn := Take(w)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Take returns the client's connection, removed from net/http. The caller writes to it and closes it.
func Take(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // aborts the response, as net/http provides for a connection that can't be hijacked
	}
	return conn
}

// Body reads a request body of at most limit bytes. On failure it returns the status to respond with.
func Body(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, int) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// Uint parses a non-negative integer from the query; present is false if the parameter is absent.
func Uint(r *http.Request, name string) (n uint64, present bool, err error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, false, nil
	}
	n, err = strconv.ParseUint(text, 10, 63)
	return n, true, err
}
