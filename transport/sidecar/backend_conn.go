package sidecar

import (
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/transport/orderly"
)

// errCutOff is the error of a read of a connection that ended, but not in order.
var errCutOff = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}

// countingConn counts the bytes written, and can be sealed against further
// writes.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read implements net.Conn. A connection that did not end in order ends with an
// error, and with its end the writing of a request ends, too.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	inOrder := orderly.Ended(c.Conn)
	_ = c.SetWriteDeadline(time.Now())
	if !inOrder {
		return n, errCutOff
	}
	return n, err
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal reports whether the byte count still equals before. If so, it also
// prevents any further write.
func (c *countingConn) seal(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != before {
		return false
	}
	c.sealed = true
	return true
}

// assignedConn records the connection that net/http assigned to a call.
type assignedConn struct {
	mu     sync.Mutex
	conn   *countingConn
	before int64
	// written gets the error of writing the request, nil if it was written whole.
	written chan error
}

// onWrote records how the writing of the request ended.
func (u *assignedConn) onWrote(info httptrace.WroteRequestInfo) {
	select {
	case u.written <- info.Err:
	default:
	}
}

// requestBoundBody is the body of a response that ends with its connection. It
// ends with an error if the server did not receive the whole request before.
type requestBoundBody struct {
	io.ReadCloser
	written <-chan error
	// end is the error of the last read once the body has ended.
	end error
}

// Read implements io.Reader.
func (b *requestBoundBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.end = io.EOF
	if <-b.written != nil {
		b.end = errCutOff
	}
	return n, b.end
}

func (u *assignedConn) onGotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn, u.before = c, c.count()
	select {
	case <-u.written:
		// An earlier connection was closed before any of the request was written.
	default:
	}
}

// discard closes the connection: what follows on it belongs to no request.
func (u *assignedConn) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

// nothingWritten reports whether no byte of the call was or will be written.
// It is called after the call has failed: a failed call is not assigned
// another connection.
func (u *assignedConn) nothingWritten() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn == nil || u.conn.seal(u.before)
}
