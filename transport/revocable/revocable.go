// Package revocable makes connections end with a TCP reset unless Settle was called. When such a
// connection is closed or the process ends, bytes not yet delivered are discarded, and the peer
// does not mistake the close for a regular end of the data. A caller that abandons a call by
// closing its connection thereby revokes it as far as that is possible.
//
// It is used by platform, transport/backend, transport/callerconn, transport/link,
// transport/operatorclient and transport/sidecar.
package revocable

import (
	"context"
	"net"
)

// Values of a connection's linger time (SO_LINGER), in seconds.
const (
	// resetOnClose makes the close of a connection discard unsent data and send a reset.
	resetOnClose = 0
	// sendInBackground lets the kernel deliver written data after the close.
	sendInBackground = -1
)

// Dial opens a TCP connection with the dialer and applies Hold to it.
func Dial(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	Hold(conn)
	return conn, nil
}

// Hold makes the connection end with a reset, until Settle is called.
func Hold(conn net.Conn) { setLinger(conn, resetOnClose) }

// Settle lets the kernel deliver written data after the connection is closed. It is called once
// nothing is to be revoked any more.
func Settle(conn net.Conn) { setLinger(conn, sendInBackground) }

// setLinger sets what happens to undelivered bytes when the connection is closed. Its error is
// ignored: a connection that the kernel has already closed does not need the setting.
func setLinger(conn net.Conn, seconds int) {
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(seconds)
	}
}
