package callerconn

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// HasEnded reports whether the connection's end, or its failure, lies unread.
func HasEnded(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n == 0 || err != nil && !errors.Is(err, errNothing)
}

// HasUnread reports whether bytes arrived on the connection that were not read.
func HasUnread(conn net.Conn) bool {
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
