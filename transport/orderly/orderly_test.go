package orderly

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// connected returns the two ends of a connection.
func connected(t *testing.T) (near, far *net.TCPConn) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer lis.Close()
	one, err := net.Dial("tcp", lis.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	other, err := lis.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = one.Close(), other.Close() })
	return one.(*net.TCPConn), other.(*net.TCPConn)
}

// Guards against a reset that is taken for an end in order, as a write returned it as an error before the read.
func TestAResetThatAWriteWasToldOf(t *testing.T) {
	for range 50 {
		near, far := connected(t)
		_, err := far.Write([]byte("abc"))
		qt.Assert(t, err, qt.IsNil)
		got := make([]byte, 3)
		_, err = io.ReadFull(near, got)
		qt.Assert(t, err, qt.IsNil)
		_ = far.SetLinger(0)
		_ = far.Close()
		for err == nil {
			_, err = near.Write(make([]byte, 1<<10))
		}
		_, err = near.Read(got)
		qt.Check(t, err, qt.Equals, io.EOF)
		qt.Check(t, Ended(near), qt.IsFalse)
	}
}

// A close after all was read is an end in order; one that leaves bytes unread is none.
func TestACloseInOrder(t *testing.T) {
	for _, isRead := range []bool{true, false} {
		near, far := connected(t)
		_, err := near.Write([]byte("request"))
		qt.Assert(t, err, qt.IsNil)
		if isRead {
			_, err = io.ReadFull(far, make([]byte, len("request")))
			qt.Assert(t, err, qt.IsNil)
		}
		_ = far.Close()
		_, err = near.Read(make([]byte, 1))
		qt.Check(t, err == io.EOF && Ended(near), qt.Equals, isRead)
	}
}
