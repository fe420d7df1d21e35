// Package callerconn tracks the connections of a router's callers: it bounds their number,
// closes idle ones, and reports whether data waits unread on one.
//
// It is used by direct routers.
package callerconn

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ShortIdle is the idle timeout that is announced to callers when there are many connections.
// Such a connection is closed only after shortIdleLimit, as its caller may use it up to the
// announced time.
const (
	ShortIdle      = 2 * time.Second
	shortIdleLimit = 3 * time.Second
)

// Set tracks the callers' connections, so that idle ones are closed after the configured time,
// and earlier when file descriptors run short.
type Set struct {
	mu  sync.Mutex
	all map[net.Conn]*caller
	// closing counts the connections that Sweep closed and whose close the server has not
	// reported yet.
	closing int
}

// caller is one connection.
type caller struct {
	// idleSince is since when the connection has had no request; zero while it has one.
	idleSince time.Time
	// shortIdle reports whether the last response announced the short idle timeout. A
	// response that does not announce it resets this, as the caller goes by the last one.
	shortIdle bool
	// swept reports whether Sweep closed the connection.
	swept bool
	// requests is the number of requests that arrived on the connection.
	requests int
	// silent means that it never had a request.
	silent bool
	// accepted is when the connection was accepted.
	accepted time.Time
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{all: make(map[net.Conn]*caller)} }

// Changed records the state of a connection. It is meant as http.Server.ConnState.
func (c *Set) Changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.all[conn]
	if one == nil {
		one = &caller{accepted: time.Now()}
		c.all[conn] = one
	}
	switch state {
	case http.StateActive:
		one.silent = false
		one.idleSince = time.Time{}
		one.requests++
	case http.StateNew:
		one.silent = true
		one.idleSince = time.Now()
	case http.StateIdle:
		one.idleSince = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.all, conn)
		if one.swept {
			c.closing--
		}
	}
}

// Swept reports whether Sweep closed the connection while its request was being read. Such a
// request must not be forwarded: its caller sends it again.
func (c *Set) Swept(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.all[conn]
	return one != nil && one.swept
}

// IsFirst reports whether the connection carries its first request.
func (c *Set) IsFirst(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.all[conn]
	return one != nil && one.requests <= 1
}

// SinceAccepted returns how long ago the connection was accepted if it carries its first
// request, and 0 otherwise.
func (c *Set) SinceAccepted(conn net.Conn, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.all[conn]
	if one == nil || one.requests > 1 {
		return 0
	}
	return now.Sub(one.accepted)
}

// Told records whether the response about to be sent announces the short idle timeout.
func (c *Set) Told(conn net.Conn, short bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one := c.all[conn]; one != nil {
		one.shortIdle = short
	}
}

// Open returns the number of open connections.
func (c *Set) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all) - c.closing
}

// ShortLived returns the number of connections whose last response announced the short idle
// timeout.
func (c *Set) ShortLived() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, one := range c.all {
		if one.shortIdle {
			n++
		}
	}
	return n
}

// SilentTime is the time after which a connection that never had a request is closed before others when
// connections are short. Until then its first request may be on its way.
const SilentTime = 500 * time.Millisecond

// idleConn is a connection that has had no request since the given time.
type idleConn struct {
	conn  net.Conn
	since time.Time
	// silent means that it never had one.
	silent bool
}

// closesBefore orders idle connections: silent ones first, then those that are idle for longest.
func closesBefore(a, b idleConn) int {
	switch {
	case a.silent && !b.silent:
		return -1
	case b.silent && !a.silent:
		return 1
	default:
		return a.since.Compare(b.since)
	}
}

// Sweep closes connections that have been idle for longer than their limit. While there are more than maxOpen
// connections it also closes those that never had a request, then the longest idle ones. It returns the number
// closed.
func (c *Set) Sweep(now time.Time, limit time.Duration, maxOpen int) (closed int) {
	idle, excess := c.idleConns(now, limit, maxOpen)
	for i, one := range idle {
		if c.markSwept(one, now, limit, i < excess) {
			_ = one.conn.Close()
			closed++
		}
	}
	return closed
}

// idleConns returns the idle connections that may be closed, the longest idle first, and by how
// many the open connections exceed maxOpen.
func (c *Set) idleConns(now time.Time, limit time.Duration, maxOpen int) (out []idleConn, excess int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess = max(len(c.all)-c.closing-maxOpen, 0)
	for conn, one := range c.all {
		if one.idleSince.IsZero() || one.swept {
			continue
		}
		isNew := one.silent && now.Sub(one.accepted) < SilentTime
		if excess > 0 && !isNew || one.isExpired(now, limit) {
			out = append(out, idleConn{conn, one.idleSince, one.silent})
		}
	}
	slices.SortFunc(out, closesBefore)
	return out, excess
}

// markSwept reports whether the connection is still to be closed, and marks it as swept if so.
// The lock is not held while connections are closed: a small instance takes half a second to
// close thousands, and requests read meanwhile would wait for the lock, only to find their
// connections closed.
func (c *Set) markSwept(one idleConn, now time.Time, limit time.Duration, beyond bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.all[one.conn]
	if known == nil || known.swept || !known.idleSince.Equal(one.since) {
		return false
	}
	if !beyond && !known.isExpired(now, limit) {
		return false
	}
	if HasUnread(one.conn) {
		// A request has arrived that this router has not read yet.
		return false
	}
	known.swept = true
	c.closing++
	return true
}

// isExpired reports whether the connection has been idle for too long.
func (c *caller) isExpired(now time.Time, limit time.Duration) bool {
	if c.shortIdle {
		limit = min(limit, shortIdleLimit)
	}
	return now.Sub(c.idleSince) > limit
}
