package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Way is how the connection of an exchange that was given up ended.
type Way string

// Ways in which connections end.
const (
	// Reset: what was sent and has not arrived never does.
	Reset Way = "reset"
	// Ended: its other end or the kernel had ended it before.
	Ended Way = "ended"
)

// Abandoned tells of an exchange that was given up after the first byte of its request was
// written and before its answer was whole.
type Abandoned struct {
	// Began is when the first byte was written.
	Began time.Time
	// Answered tells that the head of the answer had arrived.
	Answered bool
	// Unacked is the number of bytes that the other end had not acknowledged; -1: not known.
	Unacked int
	// How the connection ended.
	How Way
	// Err is what the exchange met; nil when its context ended or its caller wanted no more.
	Err error
}

// unacked returns how many bytes that were written the other end has not acknowledged, or
// -1 when the kernel does not say.
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
