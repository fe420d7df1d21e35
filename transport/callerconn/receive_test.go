package callerconn

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// What a caller sends and the router does not read stays within a small buffer, and a large body within a larger
// one.
func TestUnreadBytesAreBounded(t *testing.T) {
	for widen, bound := range map[bool]int{false: 3 * ReceiveBuffer, true: WideUnread} {
		c := qt.New(t)
		lis, err := Listen("127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		client, err := net.Dial("tcp", lis.Addr().String())
		c.Assert(err, qt.IsNil)
		server, err := lis.Accept()
		c.Assert(err, qt.IsNil)
		defer func() { _, _, _ = lis.Close(), client.Close(), server.Close() }()
		if widen {
			Widen(server)
		}
		c.Assert(client.SetWriteDeadline(time.Now().Add(200*time.Millisecond)), qt.IsNil)
		_, err = client.Write(make([]byte, 32<<20))
		c.Assert(err, qt.IsNotNil)
		unread := unreadOf(c, server)
		c.Check(unread <= bound, qt.IsTrue, qt.Commentf("%d of %d", unread, bound))
		c.Check(unread > bound/6, qt.IsTrue, qt.Commentf("%d of %d", unread, bound))
	}
}

// unreadOf returns the number of bytes that wait unread on the connection.
func unreadOf(c *qt.C, conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	unread := 0
	err = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		c.Check(err, qt.IsNil)
		unread = n
	})
	c.Assert(err, qt.IsNil)
	return unread
}
