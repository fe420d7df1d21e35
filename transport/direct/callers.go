package direct

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"goldcrestport/transport/callerconn"
)

// conn returns the connection of the call, or nil.
func (c *call) conn() net.Conn { return callerconn.Of(c.req.Context()) }

// callerAddress returns the caller's address, or the zero address if it is unknown.
func (c *call) callerAddress() netip.Addr {
	if conn := c.conn(); conn != nil {
		return callerconn.AddressOf(conn.RemoteAddr())
	}
	return netip.Addr{}
}

// isSwept reports whether this router closed the call's connection as idle.
func (c *call) isSwept() bool { return c.r.callers.Swept(c.conn()) }

// keepAlive announces to the caller how long its connection may stay idle when there are many
// connections. It must be called for every answer.
func (c *call) keepAlive() {
	short := c.r.crowded()
	if short {
		c.w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(callerconn.ShortIdle/time.Second)))
	}
	c.r.callers.Told(c.conn(), short)
}

// disconnectCheckLateness is the mean read lateness from which the router checks whether a
// caller has disconnected before it sends a request on; below it the runtime reports the
// disconnection in time. The first request of a connection is always checked, as it may have
// waited long to be accepted.
const disconnectCheckLateness = 8 * time.Millisecond

// isLate reports whether the router reads so late that callers may have disconnected
// unnoticed.
func (r *Router) isLate() bool {
	return time.Duration(r.load.meanLateness.Load()) >= disconnectCheckLateness
}

// hasDisconnected reports whether the caller closed its connection while its request waited
// unread in the socket buffer.
func (c *call) hasDisconnected() bool {
	if !c.r.isLate() && !c.r.callers.IsFirst(c.conn()) {
		return false
	}
	return callerconn.HasEnded(c.conn())
}
