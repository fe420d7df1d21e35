package callerconn

import (
	"context"
	"net"
)

// key is the key of a request's connection in its context.
type key struct{}

// WithConn is the server's hook that puts a connection into the context of its requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, key{}, conn)
}

// Of returns the connection of a request by its context, or nil.
func Of(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(key{}).(net.Conn)
	return conn
}
