package callerconn

import (
	"net"
	"sync"
)

// Listener accepts no more connections than most; the others wait in
// the kernel until one ends. While it sheds, it closes them unread.
type Listener struct {
	net.Listener
	places chan struct{}
	sheds  func() bool
	// shed is told of each connection that was closed unread.
	shed func(from net.Addr)
}

// NewListener returns a listener that holds most connections at once, closes new ones
// unread while sheds says so, and tells shed of these.
func NewListener(l net.Listener, most int, sheds func() bool, shed func(from net.Addr)) *Listener {
	return &Listener{Listener: l, places: make(chan struct{}, most), sheds: sheds, shed: shed}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			<-l.places
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			<-l.places
			return conn, nil
		}
		if !l.sheds() {
			return &boundConn{TCPConn: tcp, places: l.places}, nil
		}
		from := tcp.RemoteAddr()
		closeUnread(tcp)
		l.shed(from)
	}
}

// closeUnread resets the connection, so that its caller knows at once that
// nothing of its request was read.
func closeUnread(tcp *net.TCPConn) {
	// Without the reset the caller may wait for its request's acknowledgement.
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}

// boundConn gives its place back when it is closed.
type boundConn struct {
	*net.TCPConn
	places chan struct{}
	once   sync.Once
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.once.Do(func() { <-c.places })
	return c.TCPConn.Close()
}
