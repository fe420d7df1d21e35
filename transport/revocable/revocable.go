// Package revocable lets the end of a connection be a reset, unless it was settled before:
// what was sent on it and has not arrived when it ends, or when the process does, never does,
// and its other end does not take the end for that of what it reads. Who gives up a call by
// closing its connection so takes it back as far as that can be done.
//
// platform, transport/backend, transport/callerconn and transport/link call it.
package revocable

import (
	"context"
	"net"
)

// Values of a connection's linger time, in seconds.
const (
	// noLinger lets the end of a connection be a reset.
	noLinger = 0
	// kernelsLinger lets what was written go on its way.
	kernelsLinger = -1
)

// Dial opens a TCP connection by the dialer, whose end is a reset.
func Dial(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	Hold(conn)
	return conn, nil
}

// Hold lets the end of the connection be a reset.
func Hold(conn net.Conn) { setLinger(conn, noLinger) }

// Settle lets what was written go on its way when the connection ends: nothing is to be taken
// back any more.
func Settle(conn net.Conn) { setLinger(conn, kernelsLinger) }

// setLinger sets what becomes of bytes that are on their way when the connection ends. One
// that the kernel has ended already takes no setting, and needs none.
func setLinger(conn net.Conn, seconds int) {
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(seconds)
	}
}
