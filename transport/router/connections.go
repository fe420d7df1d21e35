package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"goldcrestport/transport/callerconn"
)

// spareConnections is the number of connections beyond the bound that are
// still answered, each with one refusal. Further ones are closed at once.
const spareConnections = 64

// headerSlack is how far headers may pass their bound and still get a problem
// document; beyond it net/http answers by itself.
const headerSlack = 64 << 10

// boundedListener bounds the callers' open connections.
type boundedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	metrics *metrics
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		l.metrics.connections.Set(n)
		c := &countedConn{Conn: raw, list: l, over: n > l.limit}
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
	list *boundedListener
	once sync.Once
	over bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.list.metrics.connections.Set(c.list.open.Add(-1)) })
	return c.Conn.Close()
}

// SetLinger sets what happens at Close to bytes that were not sent.
func (c *countedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// overLimit marks the context of a connection beyond the bound.
type overLimit struct{}

// markOver puts the connection into its context, and marks one beyond the bound.
func markOver(ctx context.Context, c net.Conn) context.Context {
	ctx = callerconn.WithConn(ctx, c)
	if counted, ok := c.(*countedConn); ok && counted.over {
		return context.WithValue(ctx, overLimit{}, true)
	}
	return ctx
}

func isOver(req *http.Request) bool { return req.Context().Value(overLimit{}) != nil }

// callerServer returns the HTTP server of the callers' listener.
func (r *Router) callerServer() *http.Server {
	limits := r.set.Limits
	return &http.Server{
		Handler:           callerconn.ResetUnlessWhole(r.holding(r.callerHandler())),
		ReadHeaderTimeout: limits.HeaderTimeout.D(),
		IdleTimeout:       limits.IdleTimeout.D(),
		MaxHeaderBytes:    int(limits.Headers.Bytes()) + headerSlack,
		ConnContext:       markOver,
	}
}

// boundCallers bounds the callers' connections.
func (r *Router) boundCallers(lis net.Listener) net.Listener {
	return &boundedListener{Listener: lis, limit: int64(r.set.Limits.Connections), metrics: r.metrics}
}
