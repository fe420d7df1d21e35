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
	"goldcrestport/transport/framing"
)

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
