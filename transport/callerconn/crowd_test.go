package callerconn

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listenWith returns a listener with the gate, and its address.
func listenWith(c *qt.C, maxConns int, gate Gate, full func()) (*Listener, string) {
	tcp, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = tcp.Close() })
	return NewListener(tcp, maxConns, gate, full), tcp.Addr().String()
}

// connect opens a connection and accepts it.
func connect(c *qt.C, lis *Listener, address string) (client, server net.Conn) {
	client, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = client.Close() })
	server, err = lis.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	return client, server
}

// Guards against silent connections that count as work: at a router that reads at once, one on which nothing has
// come is no longer undecided after a moment.
func TestSilentConnectionsAreNotUndecided(t *testing.T) {
	c := qt.New(t)
	gate := &testGate{}
	gate.atOnce.Store(true)
	lis, address := listenWith(c, 10, gate, func() {})
	connect(c, lis, address)
	for range 1000 {
		if gate.decided.Load() == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.Check(gate.decided.Load(), qt.Equals, int64(1))
}

// A connection whose request waits unread is undecided for longer, as is each at a router that reads late.
func TestConnectionsThatWaitToBeReadAreUndecided(t *testing.T) {
	for _, atOnce := range []bool{true, false} {
		c := qt.New(t)
		gate := &testGate{}
		gate.atOnce.Store(atOnce)
		lis, address := listenWith(c, 10, gate, func() {})
		client, server := connect(c, lis, address)
		if atOnce {
			_, err := client.Write([]byte("GET / HTTP/1.1\r\n"))
			c.Assert(err, qt.IsNil)
		}
		server.(*limitedConn).firstRequestTimer.Stop()
		for atOnce && !HasUnread(server) {
			time.Sleep(time.Millisecond)
		}
		server.(*limitedConn).checkSilent()
		c.Check(gate.decided.Load(), qt.Equals, int64(0))
		time.Sleep(firstRequestTimeout + 100*time.Millisecond)
		c.Check(gate.decided.Load(), qt.Equals, int64(1))
	}
}

// The router learns that a caller waits for a connection to be closed.
func TestAFullListenerSaysSo(t *testing.T) {
	c := qt.New(t)
	full := make(chan struct{}, 1)
	lis, address := listenWith(c, 1, &testGate{}, func() { full <- struct{}{} })
	_, first := connect(c, lis, address)
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		connect(c, lis, address)
	}()
	<-full
	select {
	case <-accepted:
		c.Fatal("a connection beyond the limit was accepted")
	case <-time.After(20 * time.Millisecond):
	}
	c.Assert(first.Close(), qt.IsNil)
	<-accepted
}

// When connections are short, those that never had a request are closed before those that had one, also if
// they are idle for less long.
func TestSilentConnectionsAreClosedFirst(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	used, silent := &closingConn{}, &closingConn{}
	var order []string
	used.closed = func() { order = append(order, "used") }
	silent.closed = func() { order = append(order, "silent") }
	s.Changed(used, http.StateNew)
	s.Changed(used, http.StateActive)
	s.Changed(used, http.StateIdle)
	time.Sleep(2 * time.Millisecond)
	s.Changed(silent, http.StateNew)
	now := time.Now().Add(SilentTime)
	c.Check(s.Sweep(now, time.Minute, 1), qt.Equals, 1)
	c.Check(order, qt.DeepEquals, []string{"silent"})
}
