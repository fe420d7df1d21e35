package direct

import (
	"expvar"
	"net"
	"sync"
	"time"

	"goldcrestport/protocol/settings"
)

// Figures of the callers' connections.
const (
	// connectionBytes is what an open connection takes: two buffers, stacks
	// and what the kernel holds.
	connectionBytes = 24 << 10
	// connectionShare is the part of the process's memory for connections;
	// past it the collector would run without end.
	connectionShare = 0.25
	// freeShare of the greatest number of connections is kept free for new
	// callers, by closing idle ones.
	freeShare = 1.0 / 16
	// crowdedShare of the greatest number is where connections get short
	// lives.
	crowdedShare = 0.25
	// crowdedIdle is the idle time then, in seconds, and crowdedLimit when
	// such a connection is closed: a caller may use it up to the time it was
	// told.
	crowdedIdle  = 2
	crowdedLimit = 3 * time.Second
)

// mostConnections is the greatest number of callers' connections.
func mostConnections(set settings.Direct) int {
	byMemory := int(connectionShare * float64(set.Memory.Bytes()) / connectionBytes)
	return min(set.Callers.Connections, byMemory)
}

// mostKept is the number of connections beyond which idle ones are closed: a
// caller that finds no place waits unheard.
func mostKept(set settings.Direct) int {
	most := mostConnections(set)
	return most - max(int(freeShare*float64(most)), 1)
}

// full reports whether no place is left for a new caller.
func (r *Router) full() bool { return r.callers.open() >= mostConnections(r.set) }

// crowded reports whether connections should be short-lived.
func (r *Router) crowded() bool {
	return float64(r.callers.open()) > crowdedShare*float64(mostConnections(r.set))
}

// boundedListener accepts no more connections than most; the others wait in
// the kernel until one ends. While it sheds, it closes them unread.
type boundedListener struct {
	net.Listener
	places chan struct{}
	sheds  func() bool
	// shed counts the connections closed unread.
	shed *expvar.Int
}

func newBoundedListener(l net.Listener, most int, sheds func() bool, shed *expvar.Int) *boundedListener {
	return &boundedListener{Listener: l, places: make(chan struct{}, most), sheds: sheds, shed: shed}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
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
			return &boundedTCP{TCPConn: tcp, places: l.places}, nil
		}
		l.shed.Add(1)
		closeUnread(tcp)
	}
}

// closeUnread resets the connection, so that its caller knows at once that
// nothing of its request was read.
func closeUnread(tcp *net.TCPConn) {
	// Without the reset the caller may wait for its request's acknowledgement.
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}

// boundedTCP gives its place back when it is closed.
type boundedTCP struct {
	*net.TCPConn
	places chan struct{}
	once   sync.Once
}

// Close implements net.Conn.
func (c *boundedTCP) Close() error {
	c.once.Do(func() { <-c.places })
	return c.TCPConn.Close()
}
