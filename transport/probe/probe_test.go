package probe

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/completeness"
)

// server listens and handles each connection; it returns how to reach it and its listener.
func server(c *qt.C, handle func(net.Conn)) (func(context.Context) (net.Conn, error), net.Listener) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = lis.Close() })
	if handle != nil {
		go func() {
			for {
				conn, err := lis.Accept()
				if err != nil {
					return
				}
				go handle(conn)
			}
		}()
	}
	return func(ctx context.Context) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", lis.Addr().String())
	}, lis
}

// A server that keeps what it takes lives, and the connection is as good as any.
func TestAServerThatKeepsAConnectionTakesThem(t *testing.T) {
	c := qt.New(t)
	dial, _ := server(c, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	conn, err := Open(context.Background(), dial)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Check(Sign(err), qt.Equals, completeness.Takes)
	time.Sleep(2 * Time)
	_, err = conn.Write([]byte{1})
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 1))
	c.Check(err, qt.IsNil)
}

// Guards against a server that is taken for alive while its process ends: the kernel took a
// connection that nobody accepts any more.
func TestAServerThatEndsAMomentLaterRefuses(t *testing.T) {
	c := qt.New(t)
	dial, lis := server(c, nil)
	_, err := Open(context.Background(), func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		_ = lis.Close()
		return conn, err
	})
	c.Check(Sign(err), qt.Equals, completeness.Refuses, qt.Commentf("%v", err))
}

// A server that ends all that it takes, as one without a free place may, shows neither that it
// lives nor that it is gone.
func TestAServerThatKeepsNothingShowsNothing(t *testing.T) {
	c := qt.New(t)
	dial, lis := server(c, nil)
	_, err := Open(context.Background(), func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		c.Assert(err, qt.IsNil)
		far, err := lis.Accept()
		c.Assert(err, qt.IsNil)
		return conn, far.Close()
	})
	c.Check(err, qt.Equals, ErrNotKept)
	c.Check(Sign(err), qt.Equals, completeness.Silent)
}
