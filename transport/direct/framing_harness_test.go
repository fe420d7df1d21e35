package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	qt "github.com/frankban/quicktest"
)

// Framings of the answers that the test servers send.
const (
	byConnection = "connection"
	byChunks     = "chunks"
	byLength     = "length"
)

// Ways in which their connections end.
const (
	closes = "closes"
	resets = "resets"
)

// answerPlan is an answer that a server sends: status 200, the server's mark, the body in the
// framing, and then the end.
type answerPlan struct {
	framing string
	body    string
	// noEnd omits the mark of the framing's end: the last chunk, or a byte of the length.
	noEnd bool
	// end of the connection; empty if it is kept.
	end string
}

func (p answerPlan) send(w io.Writer) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: m\r\nContent-Type: text/event-stream\r\n", testMark)
	switch p.framing {
	case byChunks:
		_, _ = io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n")
		if p.body != "" {
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(p.body), p.body)
		}
		if !p.noEnd {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
	case byLength:
		length := len(p.body)
		if p.noEnd {
			length++
		}
		_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head, length, p.body)
	default:
		_, _ = io.WriteString(w, head+"\r\n"+p.body)
	}
	return p.finish(w)
}

// finish ends the connection, or keeps it.
func (p answerPlan) finish(w io.Writer) bool {
	switch {
	case p.end == resets:
		_ = w.(*net.TCPConn).SetLinger(0)
		return false
	case p.end == closes, p.framing == byConnection, p.noEnd:
		return false
	default:
		return true
	}
}

// inTurn lets servers answer by the plans, one request after the other at whichever server,
// and all further requests by the last plan. It counts the requests.
func inTurn(n *atomic.Int32, plans ...func(w io.Writer, req *http.Request) bool) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, req *http.Request) bool {
		at := int(n.Add(1)) - 1
		return plans[min(at, len(plans)-1)](w, req)
	}
}

// plan returns a step of inTurn.
func plan(p answerPlan) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, _ *http.Request) bool { return p.send(w) }
}

// continueStream streams the rest of six events in chunks.
func continueStream(w io.Writer, req *http.Request) bool {
	return events(w, req, streamEvents, 0, false)
}

// streamEvents is the number of events of a whole stream in these tests.
const streamEvents = 6

// callerView is an answer as a caller on its own connection received it.
type callerView struct {
	status int
	header http.Header
	body   string
	// broken is the error that broke the answer off; nil if it looks whole.
	broken error
}

// looksWhole reports whether the caller has a success that looks whole.
func (s callerView) looksWhole() bool { return s.broken == nil && s.status == http.StatusOK }

// Protocols of the callers.
const (
	http11 = "HTTP/1.1"
	http10 = "HTTP/1.0"
)

// rawCaller is a caller's connection at the wire level.
type rawCaller struct {
	c    *qt.C
	conn net.Conn
	r    *bufio.Reader
}

func (f *fixture) connect() *rawCaller {
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{c: f.C, conn: conn, r: bufio.NewReader(conn)}
}

// roundTrip sends a request and reads its answer as far as it comes.
func (o *rawCaller) roundTrip(method, proto, path, id string, headers ...string) callerView {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s\r\nHost: h\r\n%s: %s\r\n%s: 2500\r\nContent-Length: 4\r\n", method, path, proto, testID, id, testLeft)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	_, err := io.WriteString(o.conn, b.String()+"\r\nbody")
	o.c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(o.r, &http.Request{Method: method})
	if err != nil {
		return callerView{broken: err}
	}
	body, err := io.ReadAll(resp.Body)
	return callerView{status: resp.StatusCode, header: resp.Header, body: string(body), broken: err}
}

// once sends a request on a new connection.
func (f *fixture) once(proto, path, id string, headers ...string) callerView {
	return f.connect().roundTrip(http.MethodPost, proto, path, id, headers...)
}

// isWholeEvents reports whether the text is the start of a stream and consists of whole
// events.
func isWholeEvents(text string) bool {
	n := strings.Count(text, "\n\n")
	return text == eventsText(1, n)
}

// numbered returns the id of request n.
func numbered(prefix string, n int) string { return prefix + strconv.Itoa(n) }
