package callerconn

import (
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Gate decides which new connections are read.
type Gate interface {
	// Wait returns when a connection may be accepted.
	Wait()
	// Chooses reports whether some may be closed unread.
	Chooses() bool
	// Takes reports whether a connection from the address is to be read, and returns what
	// is to be called once when its first request is decided on or none comes. It is
	// asked once for each connection.
	Takes(from netip.Addr) (decided func(), taken bool)
}

// silentMost is the time after which a connection without a request takes no place before
// a decision any more.
const silentMost = 250 * time.Millisecond

// Listener accepts no more connections than most; the others wait in
// the kernel until one ends. Those that its gate does not take are closed unread.
type Listener struct {
	*net.TCPListener
	places chan struct{}
	gate   Gate
}

// NewListener returns a listener that holds most connections at once.
func NewListener(l *net.TCPListener, most int, gate Gate) *Listener {
	return &Listener{TCPListener: l, places: make(chan struct{}, most), gate: gate}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	conn, err := l.next()
	if err != nil {
		<-l.places
		return nil, err
	}
	conn.places = l.places
	conn.silent = time.AfterFunc(silentMost, conn.Decided)
	return conn, nil
}

// next returns the next connection that is to be read.
func (l *Listener) next() (*boundConn, error) {
	for {
		l.gate.Wait()
		if l.gate.Chooses() {
			conn, err := l.choose()
			if conn != nil || err != nil {
				return conn, err
			}
			runtime.Gosched()
		}
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if decided, taken := l.gate.Takes(AddressOf(conn.RemoteAddr())); taken {
			return &boundConn{TCPConn: conn, decided: decided}, nil
		}
		closeUnread(conn)
	}
}

// chooseMost bounds the connections that are closed in a row, after which the process's
// other work has its turn.
const chooseMost = 64

// choose goes through the connections that wait, and returns the first that the gate
// takes, or nil. It needs fewer system calls for each than AcceptTCP: a flooded router
// has little else to do.
func (l *Listener) choose() (*boundConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	socket := -1
	var decided func()
	err = raw.Control(func(fd uintptr) {
		for range chooseMost {
			one, from, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				// None waits, or AcceptTCP meets and tells what is wrong.
				return
			}
			var taken bool
			if decided, taken = l.gate.Takes(addressOf(from)); taken {
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
	return &boundConn{TCPConn: conn, decided: decided}, nil
}

// connOf returns the connection of a socket, which it owns from then on.
func connOf(socket int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(socket), "")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// AddressOf returns the IP address of a TCP address, or none.
func AddressOf(a net.Addr) netip.Addr {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

func addressOf(a unix.Sockaddr) netip.Addr {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(a.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(a.Addr).Unmap()
	default:
		return netip.Addr{}
	}
}

// closeUnread resets the connection, so that its caller knows at once that
// nothing of its request was read.
func closeUnread(tcp *net.TCPConn) {
	// Without the reset the caller may wait for its request's acknowledgement.
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}

// resetSocket does the same to a socket.
func resetSocket(socket int) {
	_ = unix.SetsockoptLinger(socket, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	_ = unix.Close(socket)
}

// boundConn gives its places back: that before the decision when there is one, the other
// when it is closed.
type boundConn struct {
	*net.TCPConn
	places  chan struct{}
	decided func()
	silent  *time.Timer
	first   sync.Once
	once    sync.Once
}

// Decided tells that the first request was decided on, or that none came.
func (c *boundConn) Decided() { c.first.Do(c.decided) }

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.once.Do(func() {
		c.silent.Stop()
		c.Decided()
		<-c.places
	})
	return c.TCPConn.Close()
}

// Decided tells the listener of the connection that its first request was decided on.
func Decided(conn net.Conn) {
	if c, ok := conn.(*boundConn); ok {
		c.Decided()
	}
}
