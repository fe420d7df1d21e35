package backend

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request as the server gets it.
type Request struct {
	Method string
	// URI is the path and query, unchanged from the caller.
	URI  string
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// HasBody tells that the caller sent a body, if only an empty one.
	HasBody bool
	// Head takes the head of each answer that arrives, and reports whether it
	// belongs to this request. A server may send an answer twice; the second one
	// then arrives where the answer to the next request is expected.
	Head func(status int, h http.Header) (own bool)
	// Begin is asked right before the first byte leaves, when a connection is
	// there: an error means that the request is not to be sent any more. Nil: it
	// may be sent.
	Begin func() error
	// Abandoned is told when the exchange is given up after the first byte left, once, on
	// any goroutine. Nil: nobody is told.
	Abandoned func(Abandoned)
}

func (r Request) begin() error {
	if r.Begin == nil {
		return nil
	}
	return r.Begin()
}

// inlineBody is the size up to which a request is written before its answer is
// read; a longer one is written beside, as a server may answer before it has
// read the whole body.
const inlineBody = 2048

// writeSize is how much of a request is written at once, in bytes: what the kernel has of it
// is known in these steps.
const writeSize = 16 << 10

// send writes the request.
func (a *Answer) send(data []byte) {
	if len(data) <= inlineBody {
		a.written <- a.write(data)
		return
	}
	go func() { a.written <- a.write(data) }()
}

func (a *Answer) write(data []byte) error {
	for len(data) > 0 {
		n, err := a.conn.Write(data[:min(len(data), writeSize)])
		a.handed.Add(int64(n))
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// encode writes the request as HTTP/1.1.
func encode(req Request) []byte {
	var b bytes.Buffer
	b.Grow(len(req.Body) + 512)
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// The keys and values were parsed by net/http, which lets no line end pass.
	_ = req.Header.Write(&b)
	if req.HasBody || len(req.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}
