package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/transport/framing"
)

// Stage is how far a failed exchange got.
type Stage int

// Stages of failure.
const (
	// NotSent means that no byte of the request was sent: it has not run.
	NotSent Stage = iota
	// MaybeRun means that some or all of the request may have been sent and no valid response
	// header was received: the server may have run it.
	MaybeRun
)

// Failure is the outcome of an exchange that got no response.
type Failure struct {
	Stage Stage
	Err   error
}

// ErrUnexpectedData means that the server sent something other than the response to the request.
var ErrUnexpectedData = errors.New("unexpected data instead of a response to the request")

// ErrWithdrawn marks the errors of requests that Request.Begin cancelled once a connection
// was available.
var ErrWithdrawn = errors.New("request withdrawn before it was sent")

// maxStray bounds the number of responses that are read for one request, including those to
// other requests, which are skipped; maxStrayBytes bounds the body of a skipped one.
const (
	maxStray      = 3
	maxStrayBytes = 1 << 20
)

// Do sends the request and returns the response with its header read, or a failure. The
// connection is reset as soon as ctx is done, when the sent bytes make no progress, or when
// the server is draining or gone and sends nothing.
func (p *Pool) Do(ctx context.Context, to Target, req Request) (*Answer, *Failure) {
	c, err := p.get(ctx, to, req.Trust)
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
	head := encodeHead(req)
	a := &Answer{pool: p, conn: c, written: make(chan error, 1), startedAt: time.Now(), onAbandoned: req.Abandoned, size: len(head) + req.bodyLen()}
	a.stop = context.AfterFunc(ctx, func() { a.abandon(ConnReset, nil) })
	p.exchanges.add(a)
	a.send(head, req.Body)
	if err := a.readHead(req); err != nil {
		a.stop()
		c.head.held.Release()
		err = a.cause(err)
		a.abandon(ConnAlreadyClosed, err)
		return nil, &Failure{Stage: MaybeRun, Err: err}
	}
	return a, nil
}

// readHead reads up to the header of the response that belongs to the request.
func (a *Answer) readHead(req Request) error {
	for range maxStray {
		resp, err := a.conn.readResponse(req.Method)
		if err != nil {
			return err
		}
		a.conn.peer.noteAnswered(a.startedAt)
		if req.Head(resp.StatusCode, resp.Header) {
			a.setResponse(resp)
			return nil
		}
		if err := discardResponse(resp, a.conn); err != nil {
			return err
		}
	}
	return errors.Wrap(ErrUnexpectedData, "too many responses to other requests")
}

// readResponse reads the header of one final response; interim (1xx) responses are skipped.
// Its errors include ErrEndless.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.head.open()
	defer func() { c.head.isOpen = false }()
	for {
		if err := checkStart(c.reader); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.head.isSpent() {
			// The parser's error is about the header that was cut off.
			err = errors.Wrap(ErrEndless, "response header")
		}
		if err != nil {
			return nil, err
		}
		c.noteParsed()
		if err := checkLength(resp); err != nil {
			return nil, err
		}
		if !framing.IsStatus(resp.StatusCode) {
			return nil, errors.Wrapf(ErrUnexpectedData, "status %03d", resp.StatusCode)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(ErrUnexpectedData, "server switched protocols")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// discardResponse reads the response to another request to its end.
func discardResponse(resp *http.Response, c *conn) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.Wrap(ErrUnexpectedData, "response to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(skippedBody{resp.Body, c}, maxStrayBytes))
	if err != nil {
		return err
	}
	if n == maxStrayBytes {
		return errors.Wrap(ErrUnexpectedData, "response to another request is too long")
	}
	return nil
}
