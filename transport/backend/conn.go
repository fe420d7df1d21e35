package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"goldcrestport/transport/revocable"
)

// readBuffer is the size of a connection's read buffer, in bytes. It holds the
// head of an answer and some tens of events.
const readBuffer = 4096

// conn is one connection to a server. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// owner is the server's id for which the connection was opened, and peer what is known
	// of that server.
	owner string
	peer  *peer
	// expires is when the server may close it for being idle; zero if it did
	// not say.
	expires time.Time
	idle    time.Time
	// used tells that an exchange went over it before.
	used  bool
	ended sync.Once
	// reading tells that bytes of the server are awaited.
	reading atomic.Bool
}

// Close closes a connection that carries no exchange, once.
func (c *conn) Close() error {
	var err error
	c.ended.Do(func() {
		revocable.Settle(c.Conn)
		err = c.Conn.Close()
	})
	return err
}

// reset ends a connection that carries an exchange, and reports whether it was open. Once it
// returns, nothing of the exchange is in the kernel any more, whoever ended it: a Read that the
// end woke may be over before.
func (c *conn) reset() bool {
	wasOpen := false
	c.ended.Do(func() {
		wasOpen = true
		// It resets: nothing that it carries goes on. The error tells nothing that the
		// exchange does not know.
		_ = c.Conn.Close()
	})
	return wasOpen
}

// Read implements io.Reader and notes that the server was heard.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	c.reading.Store(false)
	if n > 0 {
		c.peer.heard.Store(sinceEpoch())
	}
	return n, err
}

// noKeepAlive is net.Dialer's word for none.
const noKeepAlive = -1

// dialer opens connections without time-outs of the kernel's: it would end them without a word
// to the other end, and what was on its way would live on. What it finds, looks at exchanges
// find.
func dialer(cfg Config) *net.Dialer {
	return &net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: noKeepAlive}
}

func (p *Pool) dial(ctx context.Context, to Target) (*conn, error) {
	raw, err := revocable.Dial(ctx, p.dialer, to.Address)
	if err != nil {
		return nil, err
	}
	p.dials.Add(1)
	c := &conn{Conn: raw, owner: to.ID, peer: p.peerOf(to.ID)}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
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
