// Package relay is a TCP proxy between two processes that can reset its connections,
// stall them (in both directions or one), delay them, and return to normal. Tests,
// bench/prove and bench/soak use it to simulate partitions and lost or slow links.
//
// Stalled bytes are lost if their sender resets the connection, as on a path between
// two hosts. If the sender closes the connection, all that it sent is still forwarded.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// mode determines how the relay treats connections.
type mode int

const (
	// forwarding forwards bytes.
	forwarding mode = iota
	// held keeps connections open and forwards no bytes.
	held
	// silenced keeps connections open and forwards no bytes from the target.
	silenced
	// cut resets every connection, including new ones.
	cut
)

// Relay forwards connections to a target.
type Relay struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	mode    mode
	delay   time.Duration
	changed chan struct{} // closed and replaced whenever mode changes
	pairs   map[*pair]bool
	closed  bool
}

// pair is an accepted connection and the matching connection to the target.
type pair struct {
	client, upstream net.Conn
}

// Listen starts a relay that listens on addr and forwards to target.
func Listen(addr, target string) (*Relay, error) {
	return listen(net.ListenConfig{}, addr, target)
}

// tightBuffer is the size of the receive buffer of connections to a relay of ListenTight, in bytes.
const tightBuffer = 4 << 10

// ListenTight starts a relay with a small receive buffer: while it is stalled, most of a
// long request remains in the send buffer of the sender's kernel.
func ListenTight(addr, target string) (*Relay, error) {
	return listen(net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, tightBuffer)
		})
		return errors.Join(err, set)
	}}, addr, target)
}

func listen(cfg net.ListenConfig, addr, target string) (*Relay, error) {
	lis, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: lis, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Reset resets the existing connections; new ones are forwarded.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetAll()
}

// Cut resets the existing connections, and every new one until Heal is called.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetAll()
	r.setMode(cut)
}

// Hold stops forwarding until Heal is called. Connections stay open and new ones are accepted.
func (r *Relay) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setMode(held)
}

// Silence stops forwarding bytes from the target until Heal is called; bytes to the target are forwarded.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setMode(silenced)
}

// Delay delays all bytes by d until Heal is called.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal returns to forwarding connections and bytes without delay.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = 0
	r.setMode(forwarding)
}

// Refuse closes the listener: new connections are refused, as by a host on which the process
// does not run. Existing connections are not affected.
func (r *Relay) Refuse() { _ = r.listener.Close() }

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.resetAll()
	r.setMode(cut)
}

func (r *Relay) setMode(m mode) {
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) resetAll() {
	for p := range r.pairs {
		p.reset()
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(client net.Conn) {
	if r.waitToForward(false) != nil {
		reset(client)
		return
	}
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	p := &pair{client: client, upstream: upstream}
	if !r.add(p) {
		p.reset()
		return
	}
	defer r.remove(p)
	requestsDone := make(chan struct{})
	go func() {
		r.copy(upstream, client, false)
		close(requestsDone)
	}()
	r.copy(client, upstream, true)
	<-requestsDone
}

func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == cut || r.closed {
		return false
	}
	r.pairs[p] = true
	return true
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	_ = p.client.Close()
	_ = p.upstream.Close()
}

var errCut = errors.New("relay: cut")

// waitToForward blocks until bytes may be forwarded, from the target if fromTarget is set and to it
// otherwise. It returns an error if the relay is cut.
func (r *Relay) waitToForward(fromTarget bool) error {
	for {
		r.mu.Lock()
		m, changed, delay := r.mode, r.changed, r.delay
		r.mu.Unlock()
		switch {
		case m == cut:
			return errCut
		case m == forwarding || m == silenced && !fromTarget:
			time.Sleep(delay)
			return nil
		}
		<-changed
	}
}

// copyBuffer is the size of the copy buffer of each direction, in bytes.
const copyBuffer = 16 << 10

// copy forwards one direction until end of file, then closes that direction only.
func (r *Relay) copy(to, from net.Conn, fromTarget bool) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		if r.waitToForward(fromTarget) != nil || wasReset(from) || errors.Is(err, syscall.ECONNRESET) {
			reset(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			closeWrite(to)
			return
		}
	}
}

// wasReset reports whether the peer reset the connection. Reads report a reset only after
// the data received before it.
func wasReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	wasReset := false
	_ = raw.Control(func(fd uintptr) {
		pending, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		wasReset = err == nil && syscall.Errno(pending) == syscall.ECONNRESET
	})
	return wasReset
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (p *pair) reset() {
	reset(p.client)
	reset(p.upstream)
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
