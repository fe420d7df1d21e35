package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
	"goldcrestport/coordination/inflight"
	"goldcrestport/transport/framing"
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

// Stage tells how far a failed exchange came.
type Stage int

// Stages of failure.
const (
	// NotSent means that not a byte of the request left: it has not run.
	NotSent Stage = iota
	// MaybeRun means that the request was sent and has no whole answer.
	MaybeRun
)

// Failure is the outcome of an exchange without an answer.
type Failure struct {
	Stage Stage
	Err   error
}

// ErrStrange means that the server sent bytes that are not the answer.
var ErrStrange = errors.New("bytes that are no answer to the request")

// Answer is the head of the server's answer and its body to come. Close must
// be called once the body was read or is not wanted.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes, or -1 when it is not announced.
	Length int64
	body   io.ReadCloser

	pool    *Pool
	conn    *conn
	resp    *http.Response
	written chan error
	stop    func() bool
	ended   bool
	// failed is what broke the answer off, and bytes what was read of its body.
	failed error
	bytes  int64

	// began is when the first byte of the request was written, answered tells that the head
	// of its answer arrived, and abandoned is told when the exchange is given up.
	began     time.Time
	answered  atomic.Bool
	abandoned func(Abandoned)

	// attempt decides when the exchange is revoked. size is that of the whole request in
	// bytes, and handed what of it was given to the kernel; arrived tells that the other end
	// acknowledged all. Only looks use attempt and arrived.
	attempt inflight.Attempt
	size    int
	handed  atomic.Int64
	arrived bool
	// revoked is why the exchange was given up while its context lasted.
	revoked atomic.Pointer[error]
}

// ErrWithdrawn marks the errors of requests that were not to be sent any more when
// there was a connection for them.
var ErrWithdrawn = errors.New("withdrawn before it was sent")

// maxStray bounds the answers to other requests that are skipped, and
// maxStrayBytes the body of each.
const (
	maxStray      = 3
	maxStrayBytes = 1 << 20
)

// Do sends the request and returns the head of the answer, or a failure. The
// connection is reset as soon as ctx is done, or when what was sent makes no progress, or
// when the server leaves and is silent.
func (p *Pool) Do(ctx context.Context, to Target, req Request) (*Answer, *Failure) {
	c, err := p.get(ctx, to)
	if err != nil {
		return nil, &Failure{Stage: NotSent, Err: err}
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, &Failure{Stage: NotSent, Err: ctx.Err()}
	}
	if err := req.begin(); err != nil {
		p.put(c, time.Now())
		return nil, &Failure{Stage: NotSent, Err: errors.Mark(err, ErrWithdrawn)}
	}
	data := encode(req)
	a := &Answer{pool: p, conn: c, written: make(chan error, 1), began: time.Now(), abandoned: req.Abandoned, size: len(data)}
	a.stop = context.AfterFunc(ctx, func() { a.giveUp(Reset, nil) })
	p.flights.add(a)
	a.send(data)
	if err := a.readHead(req); err != nil {
		a.stop()
		err = a.cause(err)
		a.giveUp(Ended, err)
		return nil, &Failure{Stage: MaybeRun, Err: err}
	}
	return a, nil
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

// readHead reads up to the head of the request's own answer.
func (a *Answer) readHead(req Request) error {
	for range maxStray {
		resp, err := readResponse(a.conn.reader, req.Method)
		if err != nil {
			return err
		}
		a.conn.peer.answers(a.began)
		if req.Head(resp.StatusCode, resp.Header) {
			a.take(resp)
			return nil
		}
		if err := skip(resp); err != nil {
			return err
		}
	}
	return errors.Wrap(ErrStrange, "too many answers to other requests")
}

// readResponse reads one final head; interim ones are passed over.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(ErrStrange, "protocol switch")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// skip reads the answer to another request to its end.
func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.Wrap(ErrStrange, "an answer without length to another request")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
	if err != nil {
		return err
	}
	if n == maxStrayBytes {
		return errors.Wrap(ErrStrange, "a long answer to another request")
	}
	return nil
}

func (a *Answer) take(resp *http.Response) {
	a.answered.Store(true)
	a.resp, a.body = resp, resp.Body
	a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
}

// Read reads the body. io.EOF is the end of its framing, which is no mark where the body
// ends with its connection: End tells.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	a.bytes += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		a.ended = true
	case err != nil:
		err = a.cause(err)
		a.failed = err
	}
	return n, err
}

// Framing returns how the answer tells where its body ends.
func (a *Answer) Framing() completeness.Framing { return framing.Of(a.resp) }

// Bytes returns the number of bytes of the body that were read.
func (a *Answer) Bytes() int64 { return a.bytes }

// End returns how the reading of the answer ended.
func (a *Answer) End() completeness.End {
	switch {
	case a.ended, a.Length >= 0 && a.bytes == a.Length:
		return framing.End(a.Framing(), io.EOF)
	case errors.Is(a.failed, ErrStalled), errors.Is(a.failed, ErrServerLeft):
		return completeness.Reset
	default:
		return framing.End(a.Framing(), a.failed)
	}
}

// Close gives the connection back when the exchange ended cleanly, and closes
// it otherwise, which tells the server to stop its work.
func (a *Answer) Close() {
	if !a.reusable() {
		a.stop()
		a.end()
		return
	}
	a.pool.flights.remove(a)
	a.conn.expires = idleEnd(a.Header, time.Now())
	a.pool.put(a.conn, time.Now())
}

// reusable reports whether nothing of this exchange is left on the connection.
func (a *Answer) reusable() bool {
	if !a.ended && a.Length == 0 {
		a.ended = true
	}
	if !a.ended || a.resp.Close || a.Framing() == completeness.Connection || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	return a.stop()
}

// end closes the connection after the answer, which is given up unless it was whole and
// nothing of the request is left to write.
func (a *Answer) end() {
	if a.ended && a.wrote() {
		a.pool.flights.remove(a)
		_ = a.conn.Close()
		return
	}
	a.giveUp(Reset, a.failed)
}

// wrote reports whether the whole request was written.
func (a *Answer) wrote() bool { return int(a.handed.Load()) == a.size }

// giveUp ends an exchange that is not over, unless that is done already: its connection is
// reset, so that what was sent and has not arrived never does.
func (a *Answer) giveUp(how Way, err error) {
	a.pool.flights.remove(a)
	unacked := a.conn.unacked()
	if !a.conn.reset() || a.abandoned == nil {
		return
	}
	a.abandoned(Abandoned{Began: a.began, Answered: a.answered.Load(), Unacked: unacked, How: how, Err: err})
}

// idleEnd reads the server's idle timeout, whole seconds in Keep-Alive.
func idleEnd(h http.Header, now time.Time) time.Time {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return now.Add(time.Duration(seconds) * time.Second)
		}
	}
	return time.Time{}
}
