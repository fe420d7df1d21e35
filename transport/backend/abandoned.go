package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ConnEnd is how the connection of an abandoned exchange ended.
type ConnEnd string

// Ways in which the connection of an abandoned exchange ends.
const (
	// ConnReset means that this process reset the connection, so that bytes still unacknowledged
	// are never delivered.
	ConnReset ConnEnd = "reset"
	// ConnAlreadyClosed means that the peer or the kernel had closed the connection before.
	ConnAlreadyClosed ConnEnd = "ended"
)

// Abandoned describes an exchange that was abandoned after the first byte of its request was
// written and before its response was complete.
type Abandoned struct {
	// Began is when the first byte of the request was written.
	Began time.Time
	// Answered reports whether the response header had arrived.
	Answered bool
	// Unacked is the number of bytes that the peer had not acknowledged, or -1 if unknown.
	Unacked int
	// How is how the connection ended.
	How ConnEnd
	// Err is the error of the exchange; nil if its context ended or the caller closed the
	// response early.
	Err error
}

// unacked returns the number of written bytes that the peer has not acknowledged, or -1 if
// the kernel does not report it.
func (c *conn) unacked() int {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return -1
	}
	bytes := -1
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); ioctlErr == nil {
			bytes = n
		}
	})
	if err != nil {
		return -1
	}
	return bytes
}
