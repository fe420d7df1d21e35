package backend

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request as it is sent to the server.
type Request struct {
	Method string
	// URI is the path and query, unchanged from the caller.
	URI  string
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is nil if there is none.
	Body Body
	// HasBody reports whether the caller sent a body, even an empty one.
	HasBody bool
	// Head is called with the header of each response that arrives, and reports whether it
	// belongs to this request. A server may send a response twice; the second one then
	// arrives where the response to the next request is expected.
	Head func(status int, h http.Header) (own bool)
	// Begin is called once a connection is available, right before the first byte is sent.
	// An error cancels the request. If Begin is nil, the request is always sent.
	Begin func() error
	// Trust is what the request needs to know of the process that it is sent to.
	Trust Trust
	// Abandoned is called at most once, on any goroutine, when the exchange is abandoned
	// after its first byte was sent. It may be nil.
	Abandoned func(Abandoned)
}

// Body is the body of a request, in parts that do not change. Who reads it calls Retain before and Release
// afterwards, as the body may be given back while an abandoned send still reads it.
type Body interface {
	// Len returns the size in bytes.
	Len() int
	// Parts returns the parts in order.
	Parts() [][]byte
	Retain()
	Release()
}

// bodyLen returns the size of the body in bytes.
func (r Request) bodyLen() int {
	if r.Body == nil {
		return 0
	}
	return r.Body.Len()
}

func (r Request) begin() error {
	if r.Begin == nil {
		return nil
	}
	return r.Begin()
}

// maxInlineRequest is the size in bytes up to which a request is written before its response
// is read. A longer one is written on a goroutine of its own, as a server may respond before
// it has read the whole body.
const maxInlineRequest = 2048

// maxWrite bounds one write to the socket, in bytes. It is also the granularity of
// Answer.bytesWritten.
const maxWrite = 16 << 10

// send writes the request.
func (a *Answer) send(head []byte, body Body) {
	if a.size <= maxInlineRequest {
		a.written <- a.writeAll(head, body)
		return
	}
	if body != nil {
		body.Retain()
	}
	go func() {
		a.written <- a.writeAll(head, body)
		if body != nil {
			body.Release()
		}
	}()
}

// writeAll writes the head and the parts of the body.
func (a *Answer) writeAll(head []byte, body Body) error {
	var parts [][]byte
	if body != nil {
		parts = body.Parts()
	}
	first, parts := fillFirst(head, parts)
	if err := a.write(first); err != nil {
		return err
	}
	for _, part := range parts {
		if err := a.write(part); err != nil {
			return err
		}
	}
	return nil
}

// fillFirst copies as much of the body behind the head as its buffer has room for, so that a short request takes
// one write. It returns the buffer and the parts that remain.
func fillFirst(head []byte, parts [][]byte) (first []byte, rest [][]byte) {
	for len(parts) > 0 {
		part := parts[0]
		n := min(cap(head)-len(head), len(part))
		head = append(head, part[:n]...)
		if n < len(part) {
			return head, append([][]byte{part[n:]}, parts[1:]...)
		}
		parts = parts[1:]
	}
	return head, nil
}

// write writes the data in pieces of at most maxWrite.
func (a *Answer) write(data []byte) error {
	for len(data) > 0 {
		n, err := a.conn.Write(data[:min(len(data), maxWrite)])
		a.bytesWritten.Add(int64(n))
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// typicalHead is the usual size of a head in bytes.
const typicalHead = 512

// encodeHead returns the head of the request in the HTTP/1.1 format. Its buffer has room for the start of the
// body, and for all of a short one.
func encodeHead(req Request) []byte {
	var b bytes.Buffer
	b.Grow(min(req.bodyLen()+typicalHead, maxWrite))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// The keys and values were parsed by net/http, so they contain no line breaks.
	_ = req.Header.Write(&b)
	if req.HasBody || req.bodyLen() > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(req.bodyLen()) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
