package backend

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size of a connection's read buffer, in bytes. It holds the
// head of an answer and some tens of events.
const readBuffer = 4096

// conn is one connection to a server. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// owner is the server's id for which the connection was opened.
	owner string
	// expires is when the server may close it for being idle; zero if it did
	// not say.
	expires time.Time
	idle    time.Time
	// used tells that an exchange went over it before.
	used   bool
	closed atomic.Bool
}

// Close closes the connection once.
func (c *conn) Close() error {
	c.close()
	return nil
}

// close closes the connection and reports whether it was open.
func (c *conn) close() bool {
	if c.closed.Swap(true) {
		return false
	}
	// The error tells nothing that the exchange does not know.
	_ = c.Conn.Close()
	return true
}

// dialer opens connections that notice a dead path by themselves.
func dialer(cfg Config) *net.Dialer {
	return &net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: cfg.KeepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UnackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}

func (p *Pool) dial(ctx context.Context, to Target) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	p.dials.Add(1)
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), owner: to.ID}, nil
}

// quiet reports whether an idle connection is still open and has nothing to
// read: neither its end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = readErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
