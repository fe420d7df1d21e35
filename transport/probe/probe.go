// Package probe opens a connection to a server to check whether its process is alive. A crashing
// process may close some connections shortly before it stops listening, and the kernel may
// complete connections that the process never accepts.
//
// It is used by transport/backend, transport/direct and transport/sidecar.
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

// MinOpenTime is how long a connection must stay open to show that the server is alive.
const MinOpenTime = 20 * time.Millisecond

// maxAttempts bounds the connections that one probe opens.
const maxAttempts = 2

// ErrClosedAtOnce means that the server accepts connections and closes them at once.
var ErrClosedAtOnce = errors.New("server closes its connections at once")

// Open returns a connection that stayed open. One that the server closes at once proves nothing,
// so that another is opened, up to maxAttempts. Errors other than ErrClosedAtOnce are those of dial.
func Open[C net.Conn](ctx context.Context, dial func(context.Context) (C, error)) (C, error) {
	var none C
	for range maxAttempts {
		conn, err := dial(ctx)
		if err != nil {
			return none, err
		}
		if staysOpen(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	return none, ErrClosedAtOnce
}

// staysOpen reports whether the connection stays open without receiving data for the time that
// a probe lasts.
func staysOpen(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(MinOpenTime)) != nil {
		return false
	}
	var b [1]byte
	_, err := conn.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil
}

// Sign returns what the outcome of a probe shows about the server.
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
