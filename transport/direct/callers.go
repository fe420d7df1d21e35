package direct

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// callers follows the callers' connections, so that idle ones end when the
// configuration says so, and sooner when descriptors run out.
type callers struct {
	mu sync.Mutex
	// idle maps a connection without a request to when that began; the time
	// is zero while it has one.
	idle map[net.Conn]time.Time
}

func newCallers() *callers { return &callers{idle: make(map[net.Conn]time.Time)} }

// changed is the server's hook for the state of a connection.
func (c *callers) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.idle[conn] = time.Time{}
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
	}
}

// open returns the number of connections.
func (c *callers) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}

// sweep closes connections that were idle for longer than the limit, and those
// idle for longest while there are more than most.
func (c *callers) sweep(now time.Time, limit time.Duration, most int) (closed int) {
	type idler struct {
		conn  net.Conn
		since time.Time
	}
	var idlers []idler
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if !since.IsZero() {
			idlers = append(idlers, idler{conn, since})
		}
	}
	slices.SortFunc(idlers, func(a, b idler) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	excess := len(c.idle) - most
	for i, one := range idlers {
		if i >= excess && now.Sub(one.since) <= limit {
			break
		}
		delete(c.idle, one.conn)
		_ = one.conn.Close()
		closed++
	}
	return closed
}
