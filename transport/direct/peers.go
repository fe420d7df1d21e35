package direct

import (
	"context"
	"net"
	"net/netip"
	"time"

	"goldcrestport/protocol/digest"
)

// Times and sizes of what routers tell each other.
const (
	// tellEvery is the time between digests in a small fleet. An engine reads
	// 1,300 tokens meanwhile, less than a long prompt.
	tellEvery = 20 * time.Millisecond
	// tellBudget bounds the datagrams that a router sends in a second; in
	// larger fleets the digests are rarer.
	tellBudget = 200
	// maxDatagram bounds a digest, in bytes.
	maxDatagram = 32 << 10
)

// tell sends this router's digest to the others.
func (r *Router) tell(ctx context.Context, conn *net.UDPConn) {
	var buf []byte
	for {
		others := r.others()
		every := max(tellEvery, time.Duration(len(others))*time.Second/tellBudget)
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		if len(others) == 0 {
			continue
		}
		r.mu.Lock()
		d := r.admission.Digest(time.Now())
		r.mu.Unlock()
		buf = digest.Append(buf[:0], r.set.ID, d)
		for _, to := range others {
			if _, err := conn.WriteToUDPAddrPort(buf, to); err != nil {
				r.metrics.peerErrors.Add(1)
			}
		}
	}
}

// others returns the addresses of the other routers.
func (r *Router) others() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(r.peers))
	for id, address := range r.peers {
		if id == r.set.ID {
			continue
		}
		if to, err := netip.ParseAddrPort(address); err == nil {
			out = append(out, to)
		}
	}
	return out
}

// listen takes the other routers' digests.
func (r *Router) listen(conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		router, d, err := digest.Read(buf[:n])
		if err != nil {
			r.metrics.peerErrors.Add(1)
			continue
		}
		r.mu.Lock()
		r.admission.Told(time.Now(), router, d)
		r.mu.Unlock()
	}
}

// exchange begins the duties that tell other routers and listen to them.
func (r *Router) exchange(ctx context.Context) error {
	if r.set.Listen.Peers == "" {
		return nil
	}
	at, err := net.ResolveUDPAddr("udp4", r.set.Listen.Peers)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go r.tell(ctx, conn)
	go r.listen(conn)
	return nil
}
