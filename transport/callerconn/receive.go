package callerconn

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Sizes of the kernel's buffer of received bytes, for each connection. Bytes that wait unread count toward the
// memory of the instance, and each caller decides how many it sends.
const (
	// ReceiveBuffer is the size until a large body comes, in bytes. A request with a short body fits in it.
	ReceiveBuffer = 16 << 10
	// wideReceiveBuffer is the size while a large body comes, in bytes: 4 MiB take 8s up to a round-trip time of
	// 125ms.
	wideReceiveBuffer = 64 << 10
	// WideUnread is the most that waits unread in the larger buffer, in bytes.
	WideUnread = 2 * wideReceiveBuffer
)

// Listen listens for callers at the address, with small receive buffers.
func Listen(address string) (*net.TCPListener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			// Accepted connections inherit the size.
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBuffer)
		})
		return errors.CombineErrors(controlErr, err)
	}}
	lis, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return lis.(*net.TCPListener), nil
}

// Widen enlarges the receive buffer of a connection that a large body comes on, for as long as it is open: in a
// buffer that gets smaller the kernel drops what the caller may still send, and the connection stalls. Errors are
// ignored: without the larger size a body comes more slowly.
func Widen(conn net.Conn) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, wideReceiveBuffer)
		// The window that the peer was offered is bounded by the first size.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, wideReceiveBuffer)
	})
}
