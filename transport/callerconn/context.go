package callerconn

import (
	"context"
	"net"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn adds a connection to the context of its requests. It is meant as
// http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Of returns the connection that WithConn added to the context of a request, or nil.
func Of(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}
