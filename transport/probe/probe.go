// Package probe opens a connection to a server in order to see whether its process lives. One
// that crashes may end some connections a moment before it takes no more, and the kernel may
// take some that nobody will accept.
//
// transport/backend and transport/sidecar call it.
package probe

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/completeness"
)

// Time is how long a connection must last to show that the server lives.
const Time = 20 * time.Millisecond

// connections bounds those of one probe.
const connections = 2

// ErrNotKept means that the server takes connections and ends them at once.
var ErrNotKept = errors.New("the server ends its connections at once")

// Open returns a connection that lasted. One that the server ends at once tells nothing:
// another is opened. Other errors are those of dial.
func Open[C net.Conn](ctx context.Context, dial func(context.Context) (C, error)) (C, error) {
	var none C
	for range connections {
		conn, err := dial(ctx)
		if err != nil {
			return none, err
		}
		if lasts(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	return none, ErrNotKept
}

// lasts reports whether the connection is open and silent for the time.
func lasts(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(Time)) != nil {
		return false
	}
	var b [1]byte
	_, err := conn.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil
}

// Sign returns what the outcome of a probe shows of the server.
func Sign(err error) completeness.Sign {
	switch {
	case err == nil:
		return completeness.Takes
	case errors.Is(err, syscall.ECONNREFUSED):
		return completeness.Refuses
	default:
		return completeness.Silent
	}
}
