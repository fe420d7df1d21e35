// Package backend sends requests to backend servers over HTTP/1.1 and reports reliably
// whether a failed request may have run.
//
// It has its own connection pool instead of http.Transport, which retries some requests by
// itself and hides whether bytes were sent. Messages are parsed by net/http. The package is
// used by transport/direct.
package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestport/coordination/inflight"
	"goldcrestport/coordination/vouching"
	"goldcrestport/transport/answermemory"
	"goldcrestport/transport/probe"
)

// Config holds the timeouts and limits of a Pool.
type Config struct {
	// DialTimeout bounds the opening of a connection. Default 200ms: a handshake takes some
	// milliseconds; a lost SYN is retransmitted only after a second, by when another server
	// is the better choice.
	DialTimeout time.Duration
	// InFlight configures when an exchange in flight is revoked.
	InFlight inflight.Config
	// IdleTime bounds the time for which an idle connection is kept.
	// Default 20s.
	IdleTime time.Duration
	// IdleMargin is how long before the server's own idle timeout a connection is no longer
	// used. Default 500ms.
	IdleMargin time.Duration
	// IdlePerServer bounds the idle connections to one server. Default 64.
	IdlePerServer int
	// Vouching decides which connections lead to the processes that wrote the servers' entries.
	Vouching vouching.Config
	// Answers is the memory for long heads of responses; nil: without a bound of all together.
	Answers *answermemory.Budget
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		DialTimeout:   200 * time.Millisecond,
		InFlight:      inflight.DefaultConfig(),
		IdleTime:      20 * time.Second,
		IdleMargin:    500 * time.Millisecond,
		IdlePerServer: 64,
		Vouching:      vouching.DefaultConfig(),
	}
}

// Target identifies the server of an exchange.
type Target struct {
	// ID is that of the server's incarnation. Connections are never shared between two ids,
	// even at one address.
	ID      string
	Address string
}

// Pool holds the idle connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer *net.Dialer
	dials  atomic.Int64

	exchanges exchangeSet

	confirmMu     sync.Mutex
	confirmations vouching.Confirmations

	mu    sync.Mutex
	idle  map[string][]*conn
	peers map[string]*peer
}

// NewPool returns an empty pool. The config must be valid.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, dialer: dialer(cfg), idle: make(map[string][]*conn), peers: make(map[string]*peer),
		exchanges: exchangeSet{cfg: cfg.InFlight, all: make(map[*Answer]struct{})},
	}
}

// peerOf returns the shared state of the server, which it creates if needed.
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

// Answered returns the send time of the latest request that the server has answered, or the
// zero time if it has answered none.
func (p *Pool) Answered(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.peers[id]; one != nil {
		return timeOf(&one.lastAnswered)
	}
	return time.Time{}
}

// Returned records that a server may receive requests, also one that was marked by Left.
func (p *Pool) Returned(id string) { p.peerOf(id).drainingSince.Store(0) }

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Left records that a server is draining or gone.
func (p *Pool) Left(id string) { p.peerOf(id).drainingSince.CompareAndSwap(0, sinceEpoch()) }

// Forget closes the idle connections to a server that is gone.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	conns, one := p.idle[id], p.peers[id]
	delete(p.idle, id)
	p.mu.Unlock()
	if one != nil {
		one.dropWitness(sinceEpochDuration())
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for id, conns := range p.idle {
		keep := conns[:0]
		for _, c := range conns {
			if p.usable(c, now) && !c.hasStray(now) {
				keep = append(keep, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[id] = keep
	}
	for _, one := range p.peers {
		one.dropWitness(sinceEpochDuration() - witnessUnused)
	}
	p.forgetPeers()
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// peerRetention is how long the state of a server that is draining or gone is kept; exchanges
// take less time than that.
const peerRetention = time.Minute

// forgetPeers drops the state of servers that have been draining or gone for longer than
// peerRetention. The caller must hold mu.
func (p *Pool) forgetPeers() {
	for id, one := range p.peers {
		if left := one.drainingSince.Load(); left != 0 && sinceEpoch()-left > int64(peerRetention) {
			delete(p.peers, id)
			delete(p.idle, id)
		}
	}
}

func (p *Pool) usable(c *conn, now time.Time) bool {
	if now.Sub(c.idleSince) > p.cfg.IdleTime {
		return false
	}
	return c.expiresAt.IsZero() || now.Before(c.expiresAt.Add(-p.cfg.IdleMargin))
}

// takeIdle returns an idle connection that is still usable and that the trust allows, or nil. It
// prefers the most recently used one, so that the others reach their idle limit and are closed.
func (p *Pool) takeIdle(id string, now time.Time, need Trust) *conn {
	var notAllowed []*conn
	defer func() {
		for _, c := range notAllowed {
			p.keepIdle(c)
		}
	}()
	for {
		c := p.popIdle(id)
		if c == nil {
			return nil
		}
		if !p.usable(c, now) {
			_ = c.Close()
			continue
		}
		if !c.isOpenAndEmpty() {
			// It was to stay open for longer.
			c.endSeen()
			_ = c.Close()
			continue
		}
		if p.allows(c, need) {
			p.mu.Lock()
			c.idleSince = time.Time{}
			p.mu.Unlock()
			return c
		}
		notAllowed = append(notAllowed, c)
	}
}

func (p *Pool) popIdle(id string) *conn {
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

// put returns a connection whose exchange ended cleanly to the pool.
func (p *Pool) put(c *conn, now time.Time) {
	c.used = true
	p.mu.Lock()
	c.idleSince = now
	p.mu.Unlock()
	p.keepIdle(c)
}

// keepIdle adds an idle connection, unless there are enough.
func (p *Pool) keepIdle(c *conn) {
	p.mu.Lock()
	full := len(p.idle[c.serverID]) >= p.cfg.IdlePerServer
	if !full {
		p.idle[c.serverID] = append(p.idle[c.serverID], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// get returns an idle or new connection to the target that the trust allows.
func (p *Pool) get(ctx context.Context, to Target, need Trust) (*conn, error) {
	if c := p.takeIdle(to.ID, time.Now(), need); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, to)
	if err != nil || need == AnyProcess || p.allows(c, need) {
		return c, err
	}
	p.put(c, time.Now())
	return nil, ErrUnknownProcess
}

// Probe opens a connection to the target to check whether it accepts any, and keeps it for
// the next request. Its errors are those of transport/probe.
func (p *Pool) Probe(ctx context.Context, to Target) error {
	c, err := probe.Open(ctx, func(ctx context.Context) (*conn, error) { return p.dial(ctx, to) })
	if err != nil {
		return err
	}
	p.put(c, time.Now())
	return nil
}
