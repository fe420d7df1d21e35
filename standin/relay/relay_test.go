package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echo starts a server that sends back what it receives.
func echo(c *qt.C) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return lis.Addr().String()
}

func start(c *qt.C) *Relay {
	r, err := Listen("127.0.0.1:0", echo(c))
	c.Assert(err, qt.IsNil)
	c.Cleanup(r.Close)
	return r
}

func dial(c *qt.C, r *Relay) net.Conn {
	conn, err := net.Dial("tcp", r.Addr())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a byte and waits until the echo returns it.
func exchange(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestForwardsBytesAndHalfClose(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, start(c))
	c.Assert(exchange(conn, time.Second), qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	rest, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(rest, qt.HasLen, 0)
}

func TestHoldDelaysBytesAndKeepsConnections(t *testing.T) {
	c := qt.New(t)
	r := start(c)
	conn := dial(c, r)
	c.Assert(exchange(conn, time.Second), qt.IsNil)
	r.Hold()
	c.Assert(exchange(conn, 100*time.Millisecond), qt.ErrorMatches, ".*timeout")
	r.Heal()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err := io.ReadFull(conn, make([]byte, 1))
	c.Assert(err, qt.IsNil)
}

func TestCutResetsExistingAndNewConnections(t *testing.T) {
	c := qt.New(t)
	r := start(c)
	conn := dial(c, r)
	c.Assert(exchange(conn, time.Second), qt.IsNil)
	r.Cut()
	c.Assert(exchange(conn, time.Second), qt.IsNotNil)
	c.Assert(refused(r), qt.IsTrue)
	r.Heal()
	c.Assert(exchange(dial(c, r), time.Second), qt.IsNil)
}

func TestResetForwardsNewConnections(t *testing.T) {
	c := qt.New(t)
	r := start(c)
	conn := dial(c, r)
	c.Assert(exchange(conn, time.Second), qt.IsNil)
	r.Reset()
	c.Assert(exchange(conn, time.Second), qt.IsNotNil)
	c.Assert(exchange(dial(c, r), time.Second), qt.IsNil)
}

// refused reports whether a new connection is reset, either by the dial or at first
// use: the relay may close it before the dial has returned.
func refused(r *Relay) bool {
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	defer conn.Close()
	err = exchange(conn, time.Second)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// A one-way partition delivers bytes to the target but none of its responses.
func TestSilenceStallsOneDirection(t *testing.T) {
	c := qt.New(t)
	r := start(c)
	conn := dial(c, r)
	c.Assert(exchange(conn, time.Second), qt.IsNil)
	r.Silence()
	c.Check(errors.Is(exchange(conn, 100*time.Millisecond), os.ErrDeadlineExceeded), qt.IsTrue)
	r.Heal()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err := io.ReadFull(conn, make([]byte, 1))
	c.Check(err, qt.IsNil)
}

func TestDelaySlowsBothDirections(t *testing.T) {
	c := qt.New(t)
	r := start(c)
	conn := dial(c, r)
	r.Delay(50 * time.Millisecond)
	start := time.Now()
	c.Assert(exchange(conn, time.Second), qt.IsNil)
	c.Check(time.Since(start) >= 100*time.Millisecond, qt.IsTrue)
	r.Heal()
	start = time.Now()
	c.Assert(exchange(conn, time.Second), qt.IsNil)
	c.Check(time.Since(start) < 50*time.Millisecond, qt.IsTrue)
}

// received returns the number of bytes that a server behind the relay receives on a
// connection that its sender ends while the relay is stalled, and the error that it reads.
func received(c *qt.C, listen func(addr, target string) (*Relay, error), size int, end func(*net.TCPConn)) (n int64, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer lis.Close()
	r, err := listen("127.0.0.1:0", lis.Addr().String())
	c.Assert(err, qt.IsNil)
	defer r.Close()
	conn := dial(c, r).(*net.TCPConn)
	upstream, err := lis.Accept()
	c.Assert(err, qt.IsNil)
	defer upstream.Close()
	r.Hold()
	_, err = conn.Write(make([]byte, size))
	c.Assert(err, qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	end(conn)
	time.Sleep(20 * time.Millisecond)
	r.Heal()
	_ = upstream.SetReadDeadline(time.Now().Add(2 * time.Second))
	return io.Copy(io.Discard, upstream)
}

// Stalled bytes are delivered if their sender closes the connection, and lost if it resets
// the connection, whether they are buffered in the relay or in the sender's kernel.
func TestResetDropsStalledBytes(t *testing.T) {
	for name, listen := range map[string]func(addr, target string) (*Relay, error){"relay": Listen, "sender's kernel": ListenTight} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const size = 200_000
			n, err := received(c, listen, size, func(conn *net.TCPConn) { _ = conn.Close() })
			c.Check(err, qt.IsNil)
			c.Check(n, qt.Equals, int64(size))
			n, err = received(c, listen, size, func(conn *net.TCPConn) { reset(conn) })
			c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(n < size, qt.IsTrue, qt.Commentf("%d", n))
		})
	}
}
