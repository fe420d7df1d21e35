package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"goldcrestport/transport/revocable"
)

// readBuffer is the size of a connection's read buffer, in bytes. A response header and some
// tens of streamed events fit in it.
const readBuffer = 4096

// conn is one connection to a server. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// serverID is the id of the server for which the connection was opened, and peer the
	// state that its connections share.
	serverID string
	peer     *peer
	// expiresAt is when the server may close the connection for being idle; zero if it did
	// not announce a timeout.
	expiresAt time.Time
	// idleSince is when it became idle; zero while it carries an exchange. The pool's mu guards it.
	idleSince time.Time
	// settledAt is the value of idleSince at the last check of hasStray.
	settledAt time.Time
	// used reports whether the connection carried an exchange before.
	used      bool
	closeOnce sync.Once
	// generation is that of the server's entry when the connection was opened, at openedAt since
	// epoch. since is when its process was first known: then, or when the oldest connection was
	// opened that was open then, and so on.
	generation      uint64
	openedAt, since time.Duration
	// endsByItself reports whether the server closes the connection after its response.
	endsByItself atomic.Bool
	// reading reports whether a Read is waiting for bytes of the server.
	reading atomic.Bool
	// arrived is the number of bytes received, and parsed the value of arrived when a header last arrived whole or
	// bytes of a body were last read. The goroutine that reads writes both.
	arrived, parsed atomic.Int64
	// head bounds the header that is being read.
	head headBudget
}

// Close closes a connection that carries no exchange, once.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.peer.leave(c)
		revocable.Settle(c.Conn)
		err = c.Conn.Close()
	})
	return err
}

// reset closes a connection that carries an exchange, and reports whether it was open. Once
// it returns, the kernel has discarded all bytes of the exchange, whichever goroutine closed
// the connection. A Read that the close interrupts may return earlier than that.
func (c *conn) reset() bool {
	wasOpen := false
	c.closeOnce.Do(func() {
		wasOpen = true
		c.peer.leave(c)
		// Close sends a reset, as the linger time is zero, and discards unsent bytes. Its
		// error adds nothing to what the exchange reports.
		_ = c.Conn.Close()
	})
	return wasOpen
}

// Read implements io.Reader and records when bytes of the server last arrived.
func (c *conn) Read(b []byte) (int, error) {
	if c.head.isSpent() {
		return 0, errors.Wrap(ErrEndless, "response header")
	}
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	c.reading.Store(false)
	if n > 0 {
		c.head.spend(b[:n])
		c.arrived.Add(int64(n))
		c.peer.lastReceived.Store(sinceEpoch())
	}
	if err != nil && isEndedByServer(err) && !c.endsByItself.Load() {
		c.endSeen()
	}
	return n, err
}

// noKeepAlive is the value with which net.Dialer disables keep-alive probes.
const noKeepAlive = -1

// dialer opens connections without the kernel's keep-alive timeouts. The kernel would drop
// such a connection without notifying the peer, and bytes in transit could still be delivered.
// The periodic check of exchanges detects the same failures.
func dialer(cfg Config) *net.Dialer {
	return &net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: noKeepAlive}
}

func (p *Pool) dial(ctx context.Context, to Target) (*conn, error) {
	one := p.peerOf(to.ID)
	generation := one.entryGeneration()
	raw, err := revocable.Dial(ctx, p.dialer, to.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			one.deathSeen(0)
		}
		return nil, err
	}
	p.dials.Add(1)
	limitReceiveBuffer(raw, receiveBuffer)
	c := &conn{Conn: raw, serverID: to.ID, peer: one, generation: generation}
	c.head.held = p.cfg.Answers.Hold()
	c.reader = bufio.NewReaderSize(c, readBuffer)
	one.join(c)
	return c, nil
}

// limitReceiveBuffer bounds the received bytes that the kernel keeps until they are read. Its error is ignored:
// a system without the setting has a bound of its own.
func limitReceiveBuffer(raw net.Conn, bytes int) {
	if tcp, ok := raw.(interface{ SetReadBuffer(int) error }); ok {
		_ = tcp.SetReadBuffer(bytes)
	}
}

// isOpenAndEmpty reports whether an idle connection is still open and has nothing to read:
// neither its end nor bytes that belong to no request.
func (c *conn) isOpenAndEmpty() bool {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = readErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
