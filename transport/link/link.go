// Package link opens and serves the drpc connections between the processes of
// goldcrestport.
//
// Routers dial sidecars and other routers; sidecars dial the other sidecars of their pool.
// Connections are pooled, since drpc runs one stream per connection at a time.
package link

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"goldcrestport/protocol/wire"
)

// Limits of one connection.
const (
	// maxMessage bounds one drpc message, in bytes.
	maxMessage  = 4 << 20
	dialTimeout = 2 * time.Second
)

// Pool keeps idle connections by address.
type Pool struct {
	conns *drpcpool.Pool[string, drpcpool.Conn]
	dial  func(ctx context.Context, addr string) (net.Conn, error)
}

// NewPool returns a pool that keeps at most capacity idle connections, perPeer of them to one
// address, each for at most the given idle time.
func NewPool(capacity, perPeer int, idle time.Duration) *Pool {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Pool{
		conns: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idle,
			Capacity:    capacity,
			KeyCapacity: perPeer,
		}),
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		},
	}
}

// Dial opens a new connection that does not belong to the pool.
func (p *Pool) Dial(ctx context.Context, addr string) (drpc.Conn, error) {
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
	}
}

// Get returns a pooled connection to the address, which dials on first use.
func (p *Pool) Get(ctx context.Context, addr string) drpc.Conn {
	return p.conns.Get(ctx, addr, func(ctx context.Context, addr string) (drpcpool.Conn, error) {
		raw, err := p.dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	})
}

// Sidecar returns a client of the sidecar at the address.
func (p *Pool) Sidecar(ctx context.Context, addr string) wire.DRPCSidecarClient {
	return wire.NewDRPCSidecarClient(p.Get(ctx, addr))
}

// Router returns a client of the router at the address.
func (p *Pool) Router(ctx context.Context, addr string) wire.DRPCRouterClient {
	return wire.NewDRPCRouterClient(p.Get(ctx, addr))
}

// Claims returns a client of the claims service of the router at the address.
func (p *Pool) Claims(ctx context.Context, addr string) wire.DRPCClaimsClient {
	return wire.NewDRPCClaimsClient(p.Get(ctx, addr))
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.conns.Close() }

// ServeSidecar serves the sidecar protocol until ctx ends.
func ServeSidecar(ctx context.Context, lis net.Listener, srv wire.DRPCSidecarServer) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSidecar(mux, srv); err != nil {
		return err
	}
	return serve(ctx, lis, mux)
}

// RouterServer is the set of services that a router offers to its peers.
type RouterServer interface {
	wire.DRPCRouterServer
	wire.DRPCRouterStatusServer
}

// ServeRouter serves the router protocol and the claims service until ctx ends.
func ServeRouter(ctx context.Context, lis net.Listener, srv RouterServer, claims wire.DRPCClaimsServer) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterRouter(mux, srv); err != nil {
		return err
	}
	if err := wire.DRPCRegisterRouterStatus(mux, srv); err != nil {
		return err
	}
	if err := wire.DRPCRegisterClaims(mux, claims); err != nil {
		return err
	}
	return serve(ctx, lis, mux)
}

func serve(ctx context.Context, lis net.Listener, h drpc.Handler) error {
	return drpcserver.NewWithOptions(h, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, lis)
}
