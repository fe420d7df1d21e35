package revocable

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The peer sees a reset when the connection is closed, unless Settle was called.
func TestCloseSendsAResetUnlessSettled(t *testing.T) {
	for _, settled := range []bool{false, true} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		conn, err := Dial(context.Background(), &net.Dialer{}, lis.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		far, err := lis.Accept()
		qt.Assert(t, err, qt.IsNil)
		if settled {
			Settle(conn)
		}
		qt.Assert(t, conn.Close(), qt.IsNil)
		_, err = io.ReadAll(far)
		qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.Equals, !settled, qt.Commentf("%v", err))
		_, _ = far.Close(), lis.Close()
	}
}
