package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"goldcrestport/transport/callerconn"
)

// spareConnections is the number of connections above the limit that are still
// served, each with one refusal. Further ones are closed at once.
const spareConnections = 64

// headerSlack is how many bytes headers may exceed their limit and still get a
// problem document; beyond it net/http sends its own response.
const headerSlack = 64 << 10

// limitListener limits the callers' open connections.
type limitListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	metrics *metrics
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		l.metrics.connections.Set(n)
		c := &countedConn{Conn: raw, listener: l, over: n > l.limit}
		if c.over {
			l.metrics.refusedConn.Add(1)
		}
		if n <= l.limit+spareConnections {
			return c, nil
		}
		_ = c.Close()
	}
}

// countedConn is one open connection.
type countedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
	over     bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.metrics.connections.Set(c.listener.open.Add(-1)) })
	return c.Conn.Close()
}

// SyscallConn gives access to the socket.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// SetLinger sets what Close does with unsent bytes; see
// net.TCPConn.SetLinger.
func (c *countedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// overLimit is the context key that marks a connection above the limit.
type overLimit struct{}

// connContext stores the connection in its context and marks one above the
// limit.
func connContext(ctx context.Context, c net.Conn) context.Context {
	ctx = callerconn.WithConn(ctx, c)
	if counted, ok := c.(*countedConn); ok && counted.over {
		return context.WithValue(ctx, overLimit{}, true)
	}
	return ctx
}

func isOverLimit(req *http.Request) bool { return req.Context().Value(overLimit{}) != nil }

// callerServer returns the HTTP server of the callers' listener.
func (r *Router) callerServer() *http.Server {
	limits := r.set.Limits
	return &http.Server{
		Handler:           callerconn.ResetUnlessWhole(r.trackInFlight(r.callerHandler())),
		ReadHeaderTimeout: limits.HeaderTimeout.D(),
		IdleTimeout:       limits.IdleTimeout.D(),
		MaxHeaderBytes:    int(limits.Headers.Bytes()) + headerSlack,
		ConnContext:       connContext,
	}
}

// limitCallers limits the callers' open connections.
func (r *Router) limitCallers(lis net.Listener) net.Listener {
	return &limitListener{Listener: lis, limit: int64(r.set.Limits.Connections), metrics: r.metrics}
}
