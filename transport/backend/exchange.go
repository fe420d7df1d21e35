package backend

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

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
