package callerbody

import (
	"net"
	"time"

	"goldcrestport/coordination/bodybudget"
	"goldcrestport/transport/callerconn"
)

// OnConn returns the caller of the team at the other end of the connection, which may be nil.
func OnConn(conn net.Conn, team string) Caller {
	if conn == nil {
		return Caller{Owner: bodybudget.Owner{Team: team}, Interrupt: func() {}}
	}
	return Caller{
		Owner: bodybudget.Owner{Team: team, Address: callerconn.AddressOf(conn.RemoteAddr()).String()},
		// A deadline in the past ends a read that waits.
		Interrupt:     func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) },
		OnLarge:       func() { callerconn.Widen(conn) },
		LargeOverhead: callerconn.WideUnread,
	}
}
