// Package callerconn follows the connections of a router's callers: it bounds their
// number, closes idle ones, and tells whether something lies unread on one.
//
// Direct routers use it.
package callerconn

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ShortIdle is the idle time that callers are told when there are many connections, and
// shortLimit when such a connection is closed: a caller may use it up to the time it was
// told.
const (
	ShortIdle  = 2 * time.Second
	shortLimit = 3 * time.Second
)

// Set follows the callers' connections, so that idle ones end when the
// configuration says so, and sooner when descriptors run out.
type Set struct {
	mu  sync.Mutex
	all map[net.Conn]*caller
	// closing counts those that the sweep closed and the server has not ended.
	closing int
}

// caller is one connection.
type caller struct {
	// idle is since when it has been without a request; zero while it has one.
	idle time.Time
	// short tells that the last answer named a short life. An answer that names
	// none takes it back: the caller goes by the last one.
	short bool
	// closed tells that the sweep closed the connection.
	closed bool
	// requests counts those that came on it.
	requests int
	// accepted is when the connection was taken.
	accepted time.Time
}

// NewSet returns a set without connections.
func NewSet() *Set { return &Set{all: make(map[net.Conn]*caller)} }

// Changed is the server's hook for the state of a connection.
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
		one.idle = time.Time{}
		one.requests++
	case http.StateNew, http.StateIdle:
		one.idle = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.all, conn)
		if one.closed {
			c.closing--
		}
	}
}

// Swept reports whether the sweep closed the connection while its request was
// being read. Such a request is not passed on: its caller sends it again.
func (c *Set) Swept(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.all[conn]
	return one != nil && one.closed
}

// IsFirst reports whether the connection has its first request.
func (c *Set) IsFirst(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.all[conn]
	return one != nil && one.requests <= 1
}

// SinceAccepted returns how long ago the connection was taken, if it has its first
// request; else 0.
func (c *Set) SinceAccepted(conn net.Conn, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.all[conn]
	if one == nil || one.requests > 1 {
		return 0
	}
	return now.Sub(one.accepted)
}

// Told notes whether the answer that goes out names a short life.
func (c *Set) Told(conn net.Conn, short bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one := c.all[conn]; one != nil {
		one.short = short
	}
}

// Open returns the number of connections.
func (c *Set) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all) - c.closing
}

// ShortLived returns the number of connections whose last answer named a short life.
func (c *Set) ShortLived() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, one := range c.all {
		if one.short {
			n++
		}
	}
	return n
}

// idler is a connection that was without a request since a time.
type idler struct {
	conn  net.Conn
	since time.Time
}

// Sweep closes connections that were without a request for longer than their
// limit, and the longest of those while there are more than most.
func (c *Set) Sweep(now time.Time, limit time.Duration, most int) (closed int) {
	idlers, excess := c.idlers(now, limit, most)
	for i, one := range idlers {
		if c.mayClose(one, now, limit, i < excess) {
			_ = one.conn.Close()
			closed++
		}
	}
	return closed
}

// idlers returns the connections without a request that may be closed, the
// longest first, and how many of them are beyond most.
func (c *Set) idlers(now time.Time, limit time.Duration, most int) (out []idler, excess int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess = max(len(c.all)-c.closing-most, 0)
	for conn, one := range c.all {
		if one.idle.IsZero() || one.closed {
			continue
		}
		if excess > 0 || one.over(now, limit) {
			out = append(out, idler{conn, one.idle})
		}
	}
	slices.SortFunc(out, func(a, b idler) int { return a.since.Compare(b.since) })
	return out, excess
}

// mayClose reports whether the connection is still to be closed, and notes that
// it is. The lock is not held while connections are closed: a small instance
// takes half a second for thousands, and requests that were read meanwhile
// waited for the lock to find their connections closed.
func (c *Set) mayClose(one idler, now time.Time, limit time.Duration, beyond bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.all[one.conn]
	if known == nil || known.closed || !known.idle.Equal(one.since) {
		return false
	}
	if !beyond && !known.over(now, limit) {
		return false
	}
	if HasUnread(one.conn) {
		// A request is there that this router has not read yet.
		return false
	}
	known.closed = true
	c.closing++
	return true
}

// over reports whether the connection was idle for too long.
func (c *caller) over(now time.Time, limit time.Duration) bool {
	if c.short {
		limit = min(limit, shortLimit)
	}
	return now.Sub(c.idle) > limit
}
