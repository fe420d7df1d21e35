// Package orderly reports whether the peer of a TCP connection ended it in order, having received all that was
// sent to it. An end of file does not show that: the kernel reports a reset to one call only, and if that is
// a concurrent write, the next read returns an end of file.
//
// It is used by transport/backend and transport/sidecar.
package orderly

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Ended reports whether the peer closed its side of the connection (FIN) after it received all that was written,
// and the connection was not reset. It is called after a read has returned io.EOF and before the connection is closed.
// A connection whose state cannot be read counts as ended in order.
func Ended(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	inOrder := true
	err = raw.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			inOrder = info.State == unix.BPF_TCP_CLOSE_WAIT
		}
		if unacked, outErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); outErr == nil && unacked > 0 {
			inOrder = false
		}
	})
	return err == nil && inOrder
}
