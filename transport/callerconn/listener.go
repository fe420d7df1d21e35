package callerconn

import (
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Gate decides which new connections are admitted.
type Gate interface {
	// Wait blocks until a connection may be accepted.
	Wait()
	// Chooses reports whether connections may currently be rejected.
	Chooses() bool
	// Admit reports whether a connection from the address is admitted. The caller must call
	// decided once, when the first request was admitted or refused or did not arrive in
	// time. Admit is called once for each connection.
	Admit(from netip.Addr) (decided func(), taken bool)
	// ReadsAtOnce reports whether what arrives is read at once, so that a connection on which nothing waits
	// is one whose caller has not sent its request.
	ReadsAtOnce() bool
}

// Times after which a connection without a request no longer counts as undecided at the gate.
const (
	// firstRequestTimeout holds always.
	firstRequestTimeout = 250 * time.Millisecond
	// silentTimeout holds if its caller has sent no whole request. Callers who know what they want send it right
	// behind the opening of their connection.
	silentTimeout = 25 * time.Millisecond
)

// Listener bounds the number of open connections; further ones wait in the kernel's accept
// queue until one is closed. Connections that its gate does not admit are closed unread.
type Listener struct {
	*net.TCPListener
	slots chan struct{}
	gate  Gate
	// full is called, without blocking, when a connection waits for another to be closed.
	full func()
}

// NewListener returns a listener with at most maxConns open connections at a time. It calls full, which must
// not block, when a further one waits.
func NewListener(l *net.TCPListener, maxConns int, gate Gate, full func()) *Listener {
	return &Listener{TCPListener: l, slots: make(chan struct{}, maxConns), gate: gate, full: full}
}

// takeSlot waits until a connection may be open.
func (l *Listener) takeSlot() {
	select {
	case l.slots <- struct{}{}:
	default:
		l.full()
		l.slots <- struct{}{}
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.takeSlot()
	conn, err := l.next()
	if err != nil {
		<-l.slots
		return nil, err
	}
	conn.slots = l.slots
	conn.gate = l.gate
	conn.firstRequestTimer = time.AfterFunc(silentTimeout, conn.checkSilent)
	return conn, nil
}

// next returns the next connection that the gate admits.
func (l *Listener) next() (*limitedConn, error) {
	for {
		l.gate.Wait()
		if l.gate.Chooses() {
			conn, err := l.acceptBatch()
			if conn != nil || err != nil {
				return conn, err
			}
			runtime.Gosched()
		}
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if decided, taken := l.gate.Admit(AddressOf(conn.RemoteAddr())); taken {
			return &limitedConn{TCPConn: conn, decided: decided}, nil
		}
		closeUnread(conn)
	}
}

// maxAcceptBatch bounds the connections that acceptBatch rejects in a row before it yields to
// other goroutines.
const maxAcceptBatch = 64

// acceptBatch accepts the waiting connections and returns the first that the gate admits, or
// nil. It needs fewer system calls per connection than AcceptTCP, which matters during a
// flood, when a router does little else.
func (l *Listener) acceptBatch() (*limitedConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	socket := -1
	var decided func()
	err = raw.Control(func(fd uintptr) {
		for range maxAcceptBatch {
			one, from, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				// None is waiting, or AcceptTCP will return the error.
				return
			}
			var taken bool
			if decided, taken = l.gate.Admit(sockaddrIP(from)); taken {
				socket = one
				return
			}
			resetSocket(one)
		}
	})
	if err != nil || socket < 0 {
		return nil, err
	}
	conn, err := connOf(socket)
	if err != nil {
		decided()
		return nil, err
	}
	return &limitedConn{TCPConn: conn, decided: decided}, nil
}

// connOf returns a connection that owns the socket.
func connOf(socket int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(socket), "")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// AddressOf returns the IP address of a TCP address, or the zero Addr.
func AddressOf(a net.Addr) netip.Addr {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

func sockaddrIP(a unix.Sockaddr) netip.Addr {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(a.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(a.Addr).Unmap()
	default:
		return netip.Addr{}
	}
}

// closeUnread resets the connection, so that its caller learns at once that its request was
// not read.
func closeUnread(tcp *net.TCPConn) {
	// Without the reset the caller may wait for its request to be acknowledged.
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}

// resetSocket does the same as closeUnread for a raw socket.
func resetSocket(socket int) {
	_ = unix.SetsockoptLinger(socket, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	_ = unix.Close(socket)
}

// limitedConn releases its slot of the listener when it is closed, and notifies the gate at the
// first decision, or at the timeout or the close if there is none before.
type limitedConn struct {
	*net.TCPConn
	slots             chan struct{}
	gate              Gate
	decided           func()
	firstRequestTimer *time.Timer
	isDecided         atomic.Bool
	closeOnce         sync.Once
}

// Decided notifies the gate that the first request was admitted or refused, or did not arrive.
func (c *limitedConn) Decided() {
	if c.isDecided.CompareAndSwap(false, true) {
		c.decided()
	}
}

// checkSilent notifies the gate if the caller has not sent its request yet, though all that arrives is read.
// Otherwise the request may still wait for its turn.
func (c *limitedConn) checkSilent() {
	switch {
	case c.isDecided.Load():
	case c.gate.ReadsAtOnce() && !HasUnread(c.TCPConn):
		c.Decided()
	default:
		time.AfterFunc(firstRequestTimeout-silentTimeout, c.Decided)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() {
		c.firstRequestTimer.Stop()
		c.Decided()
		<-c.slots
	})
	return c.TCPConn.Close()
}

// Decided notifies the gate of the connection that its first request was admitted or refused.
func Decided(conn net.Conn) {
	if c, ok := conn.(*limitedConn); ok {
		c.Decided()
	}
}
