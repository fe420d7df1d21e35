package direct

import (
	"maps"
	"net"
	"net/netip"
	"time"

	"goldcrestport/coordination/telling"
	"goldcrestport/protocol/crashreport"
	"goldcrestport/protocol/digest"
)

// listen takes the other routers' digests.
func (r *Router) listen(conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if err := r.takeDatagram(conn, buf[:n]); err != nil {
			r.metrics.peerErrors.Add(1)
		}
	}
}

// takeDatagram takes what another router sent.
func (r *Router) takeDatagram(conn *net.UDPConn, datagram []byte) error {
	if crashreport.Is(datagram) {
		return r.takeReport(datagram)
	}
	if digest.IsPassOn(datagram) {
		p, err := digest.ReadPassOn(datagram)
		if err != nil {
			return err
		}
		r.passOn(conn, p)
		p.Address(r.set.ID)
		datagram = p.Message
	}
	m, err := digest.Read(datagram)
	if err != nil {
		return err
	}
	if m.DataCentre == digest.DataCentreOf(r.set.DataCentre) {
		r.load.heard(time.Now(), m.Router, m.Rotation)
	}
	r.takePassed(m)
	r.hear(m)
	return nil
}

// passOn sends a message on to the other routers of this data centre.
func (r *Router) passOn(conn *net.UDPConn, p digest.PassOn) {
	r.metrics.passedOn.Add(1)
	for id, to := range r.neighbours() {
		p.Address(id)
		if _, err := conn.WriteToUDPAddrPort(p.Message, to); err != nil {
			r.metrics.peerErrors.Add(1)
		}
	}
}

// neighbours returns the addresses of the other routers of this data centre.
func (r *Router) neighbours() map[string]netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]netip.AddrPort)
	for id, one := range r.peers {
		if id == r.set.ID || !r.fleet.Neighbour(id) {
			continue
		}
		if to, err := netip.ParseAddrPort(one.Address); err == nil {
			out[id] = to
		}
	}
	return out
}

// hear takes one message of another router.
func (r *Router) hear(m digest.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.fleet.Receive(now, telling.Message{Router: m.Router, DataCentre: m.DataCentre, Seq: m.Seq, PassesOn: m.PassesOn}) {
		return
	}
	r.admission.ReceiveDigest(now, m.Router, m.Digest)
	r.toldLeaving(m.Router, m.Digest.ShuttingDown)
	r.heard[m.Router] = m.Seq
	if m.Heard == 0 {
		return
	}
	if at, known := r.witness.SentAt(m.Heard); known {
		if at > r.toldOf {
			r.toldAt, r.toldOf = bootTime(), at
			r.storeAnswersOthers(at)
		}
		r.trust(at, m)
	}
}

// storeAnswersOthers notes that the store answered another router after the time.
// One that this router has not reached since is back then: what lapsed in an outage
// comes back from the time on, and not from when the word of it came, or from this router's
// own next answer. The caller holds mu.
func (r *Router) storeAnswersOthers(at time.Duration) {
	if at > r.lostAt {
		r.roster.StoreBack(wallTime(at))
	}
}

// trust notes that the message's revision was the newest at the time. The
// caller holds mu.
func (r *Router) trust(at time.Duration, m digest.Message) {
	if r.mirror.Revision() >= m.Revision && r.table.Load() != nil {
		r.fresh.Confirm(at)
		return
	}
	r.pending.at, r.pending.revision, r.pending.router = at, m.Revision, m.Router
	select {
	case r.behind <- struct{}{}:
	default:
	}
}

// reached notes what other routers vouched for, once this router knows it. The
// caller holds mu.
func (r *Router) reached() {
	if r.pending.revision != 0 && r.mirror.Revision() >= r.pending.revision && r.table.Load() != nil {
		r.fresh.Confirm(r.pending.at)
		r.pending.revision = 0
	}
}

// hearing returns the last message heard of each router.
func (r *Router) hearing() map[string]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.heard)
}
