package backend

import (
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"goldcrestport/standin/internal/reply"
)

// endlessKind is what a server sends without end: the start, then the piece again and again. It is no answer.
type endlessKind struct{ start, piece string }

// endlessKindsOf returns the kinds for a response with the given header fields.
func endlessKindsOf(fields string, isStream bool) []endlessKind {
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	kinds := []endlessKind{
		{"", "\x00"},
		{"HTTP/1.1 200 ", "O"},
		{head + "X-Field: ", "a"},
		{head, "x: y\r\n"},
		{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{head + "Content-Length: 1000000000000000000\r\n\r\n", "a"},
		{chunked, "0"},
		{chunked + "5;x=", "a"},
		{chunked + "1\r\nx\r\n0\r\nX-Field: ", "a"},
	}
	if isStream {
		kinds = append(kinds, endlessKind{head + "\r\ndata: ", "a"}, endlessKind{head + "\r\n", ": c\n"}, endlessKind{head + "\r\nid: 1\ndata: ", "a"})
	}
	return kinds
}

// Paces of an endless response: the size of its blocks, in bytes, and the pause after each.
const (
	endlessBlock = 32 << 10
	fastPause    = time.Millisecond
	slowPause    = 10 * time.Millisecond
)

// endless sends what is no answer until the client closes the connection. The run decides what it is, and
// whether it comes at full speed or slowly.
func (s *Server) endless(w http.ResponseWriter, run Run) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(run.Server + " " + run.ID))
	// The shift keeps the number positive where int has 32 bits.
	n := int(h.Sum32() >> 3)
	kinds := endlessKindsOf(headerID+": "+run.ID+"\r\n"+headerStamp+": "+run.Server+"."+run.ID+"\r\n", s.cfg.Engine)
	kind := kinds[n/2%len(kinds)]
	block, pause := kind.piece, slowPause
	if n%2 == 0 {
		block, pause = strings.Repeat(kind.piece, endlessBlock/len(kind.piece)), fastPause
	}
	conn := reply.Take(w)
	defer conn.Close()
	_, err := io.WriteString(conn, kind.start)
	for err == nil {
		_, err = io.WriteString(conn, block)
		time.Sleep(pause)
	}
}
