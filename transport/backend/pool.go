// Package backend carries requests to backend servers over HTTP/1.1 and tells
// for certain whether a request that failed may have run.
//
// It keeps its own connections instead of those of http.Transport, which
// repeats some requests by itself and hides whether bytes were sent. Parsing is
// net/http's. transport/direct calls it.
package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestport/coordination/inflight"
	"goldcrestport/transport/probe"
)

// Config holds the times of a Pool.
type Config struct {
	// DialTimeout bounds the opening of a connection. Default 200ms: a
	// handshake takes some milliseconds; a lost opening packet is sent again
	// after a second, when another server is the better choice.
	DialTimeout time.Duration
	// InFlight bounds what is on its way to a server.
	InFlight inflight.Config
	// IdleTime bounds the time that a connection is kept without an exchange.
	// Default 20s.
	IdleTime time.Duration
	// IdleMargin is how long before the server's own idle timeout a
	// connection is given up. Default 500ms.
	IdleMargin time.Duration
	// IdlePerServer bounds the idle connections to one server. Default 64.
	IdlePerServer int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		DialTimeout:   200 * time.Millisecond,
		InFlight:      inflight.DefaultConfig(),
		IdleTime:      20 * time.Second,
		IdleMargin:    500 * time.Millisecond,
		IdlePerServer: 64,
	}
}

// Target names the server of an exchange.
type Target struct {
	// ID of the server's incarnation. Connections are never shared between two
	// ids, even at one address.
	ID      string
	Address string
}

// Pool holds the idle connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer *net.Dialer
	dials  atomic.Int64

	flights flights

	mu    sync.Mutex
	idle  map[string][]*conn
	peers map[string]*peer
}

// NewPool returns a pool without connections. The config must be valid.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, dialer: dialer(cfg), idle: make(map[string][]*conn), peers: make(map[string]*peer),
		flights: flights{cfg: cfg.InFlight, all: make(map[*Answer]struct{})},
	}
}

// peerOf returns what is known of the server.
func (p *Pool) peerOf(id string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.peers[id]
	if one == nil {
		one = &peer{}
		p.peers[id] = one
	}
	return one
}

// Answered returns when the youngest request was sent that the server has answered; the zero
// time: it has answered none.
func (p *Pool) Answered(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.peers[id]; one != nil {
		return timeOf(&one.answered)
	}
	return time.Time{}
}

// Returned notes that a server may get work, also one that was known to leave.
func (p *Pool) Returned(id string) { p.peerOf(id).left.Store(0) }

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Left notes that a server leaves or is gone.
func (p *Pool) Left(id string) { p.peerOf(id).left.CompareAndSwap(0, sinceEpoch()) }

// Forget closes the idle connections to a server that is gone.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	conns := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for id, conns := range p.idle {
		keep := conns[:0]
		for _, c := range conns {
			if p.usable(c, now) {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[id] = keep
	}
	p.forget()
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// peerTime is how long a server that left is remembered, longer than exchanges last.
const peerTime = time.Minute

// forget drops the servers that left long ago. The caller holds mu.
func (p *Pool) forget() {
	for id, one := range p.peers {
		if left := one.left.Load(); left != 0 && sinceEpoch()-left > int64(peerTime) {
			delete(p.peers, id)
			delete(p.idle, id)
		}
	}
}

func (p *Pool) usable(c *conn, now time.Time) bool {
	if now.Sub(c.idle) > p.cfg.IdleTime {
		return false
	}
	return c.expires.IsZero() || now.Before(c.expires.Add(-p.cfg.IdleMargin))
}

// take returns an idle connection that is still sound, or nil. The one used
// last comes first, so that the others grow old and are closed.
func (p *Pool) take(id string, now time.Time) *conn {
	for {
		c := p.pop(id)
		if c == nil {
			return nil
		}
		if p.usable(c, now) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[id] = conns[:len(conns)-1]
	return last
}

// put keeps a connection whose exchange ended cleanly.
func (p *Pool) put(c *conn, now time.Time) {
	c.idle, c.used = now, true
	p.mu.Lock()
	full := len(p.idle[c.owner]) >= p.cfg.IdlePerServer
	if !full {
		p.idle[c.owner] = append(p.idle[c.owner], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// get returns a connection to the target.
func (p *Pool) get(ctx context.Context, to Target) (*conn, error) {
	if c := p.take(to.ID, time.Now()); c != nil {
		return c, nil
	}
	return p.dial(ctx, to)
}

// Probe opens a connection to the target, to see whether it takes any, and keeps
// it for the next request. Its errors are those of transport/probe.
func (p *Pool) Probe(ctx context.Context, to Target) error {
	c, err := probe.Open(ctx, func(ctx context.Context) (*conn, error) { return p.dial(ctx, to) })
	if err != nil {
		return err
	}
	p.put(c, time.Now())
	return nil
}
