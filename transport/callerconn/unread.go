package callerconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceData returns how long ago the last bytes arrived on the connection according to the
// kernel, or 0 if the kernel does not report it. When a request header has just been read, that
// is how long the request waited unread in the socket buffer.
func SinceData(conn net.Conn) time.Duration {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	if err := control.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
