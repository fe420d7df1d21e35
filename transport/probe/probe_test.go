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

// server starts a listener, whose connections go to handle unless that is nil, and returns a
// function that dials it.
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

// A server that keeps the connection open is alive, and the connection can be used afterwards.
func TestServerThatKeepsTheConnectionIsAlive(t *testing.T) {
	c := qt.New(t)
	dial, _ := server(c, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	conn, err := Open(context.Background(), dial)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Check(Sign(err), qt.Equals, completeness.Takes)
	time.Sleep(2 * MinOpenTime)
	_, err = conn.Write([]byte{1})
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 1))
	c.Check(err, qt.IsNil)
}

// Guards against a server that is taken for alive while its process exits: the kernel completed
// a connection that the process never accepts.
func TestServerThatExitsAfterTheDialRefuses(t *testing.T) {
	c := qt.New(t)
	dial, lis := server(c, nil)
	_, err := Open(context.Background(), func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		_ = lis.Close()
		return conn, err
	})
	c.Check(Sign(err), qt.Equals, completeness.Refuses, qt.Commentf("%v", err))
}

// A server that closes every connection, as one at its connection limit may, is shown to be
// neither alive nor gone.
func TestServerThatClosesAllConnectionsIsInconclusive(t *testing.T) {
	c := qt.New(t)
	dial, lis := server(c, nil)
	_, err := Open(context.Background(), func(ctx context.Context) (net.Conn, error) {
		conn, err := dial(ctx)
		c.Assert(err, qt.IsNil)
		far, err := lis.Accept()
		c.Assert(err, qt.IsNil)
		return conn, far.Close()
	})
	c.Check(err, qt.Equals, ErrClosedAtOnce)
	c.Check(Sign(err), qt.Equals, completeness.Silent)
}
