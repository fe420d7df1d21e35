package direct

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// leftLate is the mean lateness from which a router looks whether a caller has
// left before it sends a request on: at rest the runtime tells in time. It looks
// at the first request of a connection in any case, which may have waited long
// for a place.
const leftLate = 8 * time.Millisecond

// isLate reports whether the router reads so late that callers may have left
// unnoticed.
func (r *Router) isLate() bool { return time.Duration(r.load.late.Load()) >= leftLate }

// hasLeft reports whether the caller closed its connection while its request
// lay unread.
func (c *call) hasLeft() bool {
	if !c.r.isLate() && !c.r.callers.isFirst(c.conn()) {
		return false
	}
	n, err := peek(c.conn())
	return err == nil && n == 0 || err != nil && !errors.Is(err, errNothing)
}

// hasUnread reports whether bytes arrived on the connection that were not read.
func hasUnread(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// errNothing means that nothing arrived, or that the connection cannot be
// looked at.
var errNothing = errors.New("nothing arrived")

// peek looks for a byte on the connection without reading it: 0 bytes without
// an error are its end.
func peek(conn net.Conn) (n int, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errNothing
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	if peekErr == unix.EAGAIN || peekErr == unix.EINTR {
		return 0, errNothing
	}
	return n, peekErr
}
