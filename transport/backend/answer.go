package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
	"goldcrestport/coordination/inflight"
	"goldcrestport/transport/answermemory"
	"goldcrestport/transport/framing"
	"goldcrestport/transport/orderly"
)

// Answer is the header of the server's response and its body, which is streamed. Close must
// be called once the body was read or is not needed.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body in bytes, or -1 if the response does not declare it.
	Length int64
	body   io.ReadCloser

	pool      *Pool
	conn      *conn
	resp      *http.Response
	written   chan error
	stop      func() bool
	bodyEnded bool
	// isCut means that the connection whose end is that of the body did not end in order, or before the server
	// had the whole request.
	isCut bool
	// readErr is the error that ended the reading of the body, and bodyBytes is the number of
	// bytes read.
	readErr   error
	bodyBytes int64

	// startedAt is when the first byte of the request was written, headerReceived reports
	// whether the response header arrived, and onAbandoned is called when the exchange is
	// abandoned.
	startedAt      time.Time
	headerReceived atomic.Bool
	onAbandoned    func(Abandoned)

	// attempt decides when the exchange is revoked. size is the size of the whole request in
	// bytes, and bytesWritten how much of it was written to the socket; allAcked reports
	// whether the peer acknowledged all of it. attempt and allAcked are used only by
	// exchangeSet's periodic check.
	attempt      inflight.Attempt
	size         int
	bytesWritten atomic.Int64
	allAcked     bool
	// wide is what a wide receive buffer takes of the memory for answers.
	wide answermemory.Hold
	// revokeReason is why the exchange was revoked before its context ended.
	revokeReason atomic.Pointer[error]
}

func (a *Answer) setResponse(resp *http.Response) {
	a.headerReceived.Store(true)
	a.resp, a.body = resp, resp.Body
	a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
	a.conn.endsByItself.Store(resp.Close || a.Framing() == completeness.Connection)
}

// Read reads the body. io.EOF marks the end of its framing. A body that is delimited by the
// end of its connection has no end mark, so io.EOF does not prove it complete: see End.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	a.bodyBytes += int64(n)
	if n > 0 {
		a.conn.noteParsed()
	}
	switch {
	case errors.Is(err, io.EOF):
		a.bodyEnded = true
		a.isCut = a.Framing() == completeness.Connection && !a.tookRequest()
	case err != nil:
		err = a.cause(err)
		a.readErr = err
	}
	return n, err
}

// tookRequest reports whether the server received the whole request and then ended the connection in order. It
// is called once the connection has ended, and ends the writing of a request that is not written yet.
func (a *Answer) tookRequest() bool {
	inOrder := orderly.Ended(a.conn.Conn)
	// The end of the connection may be read before the last write of the request returns.
	_ = a.conn.SetWriteDeadline(time.Now())
	err := <-a.written
	a.written <- err
	return inOrder && err == nil
}

// Framing returns how the end of the body is delimited.
func (a *Answer) Framing() completeness.Framing { return framing.Of(a.resp) }

// Bytes returns the number of bytes of the body that were read.
func (a *Answer) Bytes() int64 { return a.bodyBytes }

// End returns how the reading of the response ended.
func (a *Answer) End() completeness.End {
	switch {
	case a.isCut:
		return completeness.Reset
	case a.bodyEnded, a.Length >= 0 && a.bodyBytes == a.Length:
		return framing.End(a.Framing(), io.EOF)
	case errors.Is(a.readErr, ErrStalled), errors.Is(a.readErr, ErrServerLeft):
		return completeness.Reset
	default:
		return framing.End(a.Framing(), a.readErr)
	}
}

// Close returns the connection to the pool if the exchange ended cleanly, and closes it
// otherwise, which makes the server stop working on the request.
func (a *Answer) Close() {
	a.conn.head.held.Release()
	defer a.wide.Release()
	if a.wide.Held() > 0 || !a.reusable() {
		a.stop()
		a.closeConn()
		return
	}
	a.pool.exchanges.remove(a)
	a.conn.expiresAt = keepAliveExpiry(a.Header, time.Now())
	a.pool.put(a.conn, time.Now())
}

// kernelOverhead is the factor by which the kernel's memory for received bytes exceeds them.
const kernelOverhead = 2

// Widen lets a long answer come faster, if there is memory for what its server may send ahead. Its connection is
// not used again then, as it would stay wide.
func (a *Answer) Widen() {
	a.wide = a.pool.cfg.Answers.Hold()
	if !a.wide.Resize(kernelOverhead * wideReceiveBuffer) {
		return
	}
	limitReceiveBuffer(a.conn.Conn, wideReceiveBuffer)
}

// reusable reports whether the connection can carry another exchange: nothing of this one is
// unread or unwritten.
func (a *Answer) reusable() bool {
	if !a.bodyEnded && a.Length == 0 {
		a.bodyEnded = true
	}
	if !a.bodyEnded || a.resp.Close || a.endsWithConnection() || a.conn.reader.Buffered() > 0 {
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

// endsWithConnection reports whether the response has no framing: its end is that of the connection, also
// where it has no body, as to HEAD.
func (a *Answer) endsWithConnection() bool {
	f := a.Framing()
	return f == completeness.Connection || f == completeness.NoBody && a.resp.ContentLength < 0
}

// closeConn closes the connection. The exchange counts as abandoned unless the response was
// complete and the whole request was written.
func (a *Answer) closeConn() {
	if a.bodyEnded && a.fullyWritten() {
		a.pool.exchanges.remove(a)
		_ = a.conn.Close()
		return
	}
	a.abandon(ConnReset, a.readErr)
}

// fullyWritten reports whether the whole request was written.
func (a *Answer) fullyWritten() bool { return int(a.bytesWritten.Load()) == a.size }

// abandon ends an unfinished exchange, at most once: its connection is reset, so that bytes
// that the server has not received yet are never delivered.
func (a *Answer) abandon(how ConnEnd, err error) {
	a.pool.exchanges.remove(a)
	unacked := a.conn.unacked()
	if !a.conn.reset() || a.onAbandoned == nil {
		return
	}
	a.onAbandoned(Abandoned{Began: a.startedAt, Answered: a.headerReceived.Load(), Unacked: unacked, How: how, Err: err})
}

// keepAliveExpiry returns when the server may close the connection, by the timeout parameter
// (whole seconds) of its Keep-Alive header, or the zero time if there is none.
func keepAliveExpiry(h http.Header, now time.Time) time.Time {
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
