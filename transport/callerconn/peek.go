package callerconn

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// HasEnded reports whether the next read would return the end of the connection or its failure.
func HasEnded(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n == 0 || err != nil && !errors.Is(err, errNoData)
}

// HasUnread reports whether bytes wait unread in the socket buffer.
func HasUnread(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// errNoData means that no data arrived, or that the connection gives no access to its socket.
var errNoData = errors.New("no data arrived")

// peek looks for a byte on the connection without consuming it; 0 bytes without an error mean
// that the peer closed it.
func peek(conn net.Conn) (n int, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errNoData
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
		return 0, errNoData
	}
	return n, peekErr
}
