package backend

import (
	"hash/fnv"
	"net/http"
	"strconv"

	"goldcrestport/standin/internal/reply"
)

// framing is how an answer tells where its body ends.
type framing int

const (
	chunks framing = iota
	length
	connection
	framings
)

// brokenEnd is how a server ends an answer that it breaks off.
type brokenEnd int

const (
	// closes its connection in good order.
	closes brokenEnd = iota
	// resets it.
	resets
	// marks the end of the framing, as if the answer were whole.
	marks
	brokenEnds
)

// shape is how an answer looks on the wire: by what the request and the server are, so that the
// two of a repeat differ.
type shape struct {
	framing framing
	end     brokenEnd
	// cut is where a stream breaks off in its event, from 0 (before it) to 3 (all but the
	// empty line).
	cut int
}

// cuts is the number of places in an event.
const cuts = 4

// shapeOf returns that of the answer to the run.
func (s *Server) shapeOf(run Run) shape {
	if !s.hasShapes() {
		return shape{framing: chunks, end: closes, cut: 2}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(run.Server + " " + run.ID))
	n := int(h.Sum32() >> 3)
	one := shape{framing: framing(n % int(framings)), end: brokenEnd(n / 3 % int(brokenEnds)), cut: n / 9 % cuts}
	if one.cut == 0 && (one.end == marks || one.end == closes && one.framing == connection) {
		// Nobody could tell it from a whole answer.
		one.cut = 2
	}
	return one
}

// cutOf returns the piece of the event that is sent before a stream breaks off.
func (sh shape) cutOf(event string) string {
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

// headers sets what the framing of a body of the size needs.
func (sh shape) headers(w http.ResponseWriter, size int) {
	switch sh.framing {
	case length:
		w.Header().Set("Content-Length", strconv.Itoa(size))
	case connection:
		// net/http's word for a body that ends with its connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

// breakOff ends the answer after a part of it.
func (sh shape) breakOff(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	switch {
	case sh.end == marks || sh.end == closes && sh.framing == connection:
		// net/http ends the framing, or the connection in good order, when the handler returns.
	case sh.end == resets:
		reply.Reset(w)
	default:
		reply.Abort(w)
	}
}
