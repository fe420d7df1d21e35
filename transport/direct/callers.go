package direct

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"goldcrestport/transport/callerconn"
)

// conn is the connection of the call, or nil.
func (c *call) conn() net.Conn { return callerconn.Of(c.req.Context()) }

// from returns the caller's address, or none.
func (c *call) from() netip.Addr {
	if conn := c.conn(); conn != nil {
		return callerconn.AddressOf(conn.RemoteAddr())
	}
	return netip.Addr{}
}

// isSwept reports whether this router closed the call's connection as idle.
func (c *call) isSwept() bool { return c.r.callers.Swept(c.conn()) }

// keepAlive tells the caller how long its connection may stay idle when there
// are many. It is to be called for every answer.
func (c *call) keepAlive() {
	short := c.r.crowded()
	if short {
		c.w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(callerconn.ShortIdle/time.Second)))
	}
	c.r.callers.Told(c.conn(), short)
}

// leftLate is the mean lateness from which a router looks whether a caller has
// left before it sends a request on: at rest the runtime tells in time. It looks
// at the first request of a connection in any case, which may have waited long
// for a place.
const leftLate = 8 * time.Millisecond

// isLate reports whether the router reads so late that callers may have left
// unnoticed.
func (r *Router) isLate() bool { return time.Duration(r.load.late.Load()) >= leftLate }

// hasLeft reports whether the caller closed its connection while its request
// lay unread.
func (c *call) hasLeft() bool {
	if !c.r.isLate() && !c.r.callers.IsFirst(c.conn()) {
		return false
	}
	return callerconn.HasEnded(c.conn())
}
