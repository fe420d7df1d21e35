// Package relay is a TCP relay between two processes whose connections can be
// reset, held (both ways or one), delayed and healed. Tests, the proving tool and the
// soak use it to make partitions and lost or slow links.
//
// Bytes that are held are lost if their sender resets the connection, as on a path between
// two hosts; a connection that its sender closed goes on with all that was sent.
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

// mode is what the relay does with connections.
type mode int

const (
	// passing lets bytes through.
	passing mode = iota
	// held keeps connections and lets no bytes through.
	held
	// silenced keeps connections and lets no bytes back from the target.
	silenced
	// cut resets every connection, also new ones.
	cut
)

// Relay passes connections on to a target.
type Relay struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	mode    mode
	delay   time.Duration
	changed chan struct{} // closed and replaced at each change of mode
	pairs   map[*pair]bool
	closed  bool
}

// pair is one connection with its continuation to the target.
type pair struct {
	near, far net.Conn
}

// Listen starts a relay at an address towards a target.
func Listen(addr, target string) (*Relay, error) {
	return listen(net.ListenConfig{}, addr, target)
}

// tightBuffer is the receive buffer of connections to a tight relay, in bytes.
const tightBuffer = 4 << 10

// ListenTight starts a relay that acknowledges little of what it holds: most of a long
// request stays with the sender's kernel.
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

// Reset resets the connections there are; new ones pass.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetAll()
}

// Cut resets the connections and every new one until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetAll()
	r.set(cut)
}

// Hold stops all bytes until Heal. Connections stay, new ones are taken.
func (r *Relay) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(held)
}

// Silence stops the bytes from the target until Heal; those towards it pass.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(silenced)
}

// Delay passes all bytes on later by the time until Heal.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal lets connections and bytes through again, at once.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = 0
	r.set(passing)
}

// Refuse ends the listener: new connections are refused, as by a host without the process;
// those there are go on.
func (r *Relay) Refuse() { _ = r.listener.Close() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.resetAll()
	r.set(cut)
}

func (r *Relay) set(m mode) {
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

func (r *Relay) serve(near net.Conn) {
	if r.wait(false) != nil {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: far}
	if !r.add(p) {
		p.reset()
		return
	}
	defer r.remove(p)
	ended := make(chan struct{})
	go func() {
		r.copy(far, near, false)
		close(ended)
	}()
	r.copy(near, far, true)
	<-ended
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
	_ = p.near.Close()
	_ = p.far.Close()
}

var errCut = errors.New("relay: cut")

// wait returns once bytes may pass, back from the target or towards it, or an
// error when the relay is cut.
func (r *Relay) wait(back bool) error {
	for {
		r.mu.Lock()
		m, changed, delay := r.mode, r.changed, r.delay
		r.mu.Unlock()
		switch {
		case m == cut:
			return errCut
		case m == passing || m == silenced && !back:
			time.Sleep(delay)
			return nil
		}
		<-changed
	}
}

// copyBuffer is the size of the buffer of one direction, in bytes.
const copyBuffer = 16 << 10

// copy passes one direction on until it ends, then ends that direction only.
func (r *Relay) copy(to, from net.Conn, back bool) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		if r.wait(back) != nil || wasReset(from) || errors.Is(err, syscall.ECONNRESET) {
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

// wasReset reports whether the other end reset the connection, which reads tell only after
// what came before.
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
	reset(p.near)
	reset(p.far)
}

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
