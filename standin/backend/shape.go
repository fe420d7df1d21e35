package backend

import (
	"hash/fnv"
	"net/http"
	"strconv"

	"goldcrestport/standin/internal/reply"
)

// framing determines how the end of a response body is marked.
type framing int

const (
	chunked framing = iota
	contentLength
	untilClose
	framingCount
)

// truncationEnd determines how a server ends a response that it truncates.
type truncationEnd int

const (
	// closesConnection closes the connection normally.
	closesConnection truncationEnd = iota
	// resetsConnection resets the connection.
	resetsConnection
	// endsFraming ends the framing properly, as if the response were complete.
	endsFraming
	truncationEndCount
)

// shape is how a response is framed and truncated. It is derived from the request and the server,
// so that a retry on another server gets a shape of its own.
type shape struct {
	framing framing
	end     truncationEnd
	// cut is where in an event a stream is truncated, from 0 (before the event) to 3 (only the
	// last byte, which ends the empty line, is missing).
	cut int
}

// cutPositions is the number of positions in an event at which a stream can be truncated.
const cutPositions = 4

// shapeOf returns the shape of the response to the run.
func (s *Server) shapeOf(run Run) shape {
	if s.endsByClose() {
		return shape{framing: untilClose, end: resetsConnection, cut: 2}
	}
	if !s.hasShapes() {
		return shape{framing: chunked, end: closesConnection, cut: 2}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(run.Server + " " + run.ID))
	n := int(h.Sum32() >> 3)
	sh := shape{framing: framing(n % int(framingCount)), end: truncationEnd(n / 3 % int(truncationEndCount)), cut: n / 9 % cutPositions}
	if sh.cut == 0 && (sh.end == endsFraming || sh.end == closesConnection && sh.framing == untilClose) {
		// The client could not distinguish the truncated stream from a complete one.
		sh.cut = 2
	}
	return sh
}

// partBeforeCut returns the part of the event that is sent before a stream is truncated.
func (sh shape) partBeforeCut(event string) string {
	switch sh.cut {
	case 0:
		return ""
	case 1:
		return event[:1]
	case 2:
		return event[:len(event)/2]
	default:
		return event[:len(event)-1]
	}
}

// setFraming sets the headers that frame a body of the given size.
func (sh shape) setFraming(w http.ResponseWriter, size int) {
	switch sh.framing {
	case contentLength:
		w.Header().Set("Content-Length", strconv.Itoa(size))
	case untilClose:
		// net/http's value for a body that ends when the connection closes.
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

// truncate ends a truncated response.
func (sh shape) truncate(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	switch {
	case sh.end == endsFraming || sh.end == closesConnection && sh.framing == untilClose:
		// net/http ends the framing, or closes the connection normally, when the handler returns.
	case sh.end == resetsConnection:
		reply.Reset(w)
	default:
		reply.Abort(w)
	}
}
