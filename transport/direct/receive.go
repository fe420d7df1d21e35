package direct

import (
	"maps"
	"net"
	"net/netip"
	"time"

	"goldcrestport/coordination/telling"
	"goldcrestport/protocol/crashreport"
	"goldcrestport/protocol/digest"
	"goldcrestport/protocol/originmsg"
	"goldcrestport/protocol/pacereport"
	"goldcrestport/protocol/partreport"
)

// receiveDatagrams receives the other routers' datagrams.
func (r *Router) receiveDatagrams(conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if err := r.receiveDatagram(conn, buf[:n], from); err != nil {
			r.metrics.peerErrors.Add(1)
		}
	}
}

// receiveDatagram processes a datagram from another router.
func (r *Router) receiveDatagram(conn *net.UDPConn, datagram []byte, from netip.AddrPort) error {
	if originmsg.Is(datagram) {
		return r.origins.receive(datagram, from)
	}
	if partreport.Is(datagram) {
		return r.receivePartReport(datagram)
	}
	if crashreport.Is(datagram) {
		return r.receiveReport(datagram)
	}
	if pacereport.Is(datagram) {
		return r.receivePace(datagram)
	}
	if digest.IsPassOn(datagram) {
		p, err := digest.ReadPassOn(datagram)
		if err != nil {
			return err
		}
		r.forward(conn, p)
		p.Address(r.set.ID)
		datagram = p.Message
	}
	m, err := digest.Read(datagram)
	if err != nil {
		return err
	}
	if m.DataCentre == digest.DataCentreOf(r.set.DataCentre) {
		r.load.receiveRotation(time.Now(), m.Router, m.Rotation)
	}
	r.applyAttached(m)
	r.receiveMessage(m)
	return nil
}

// forward forwards a message to the other routers of this data centre.
func (r *Router) forward(conn *net.UDPConn, p digest.PassOn) {
	r.metrics.forwarded.Add(1)
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

// receiveMessage processes a gossip message of another router.
func (r *Router) receiveMessage(m digest.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.fleet.Receive(now, telling.Message{Router: m.Router, DataCentre: m.DataCentre, Seq: m.Seq, PassesOn: m.PassesOn}) {
		return
	}
	r.admission.ReceiveDigest(now, m.Router, m.Digest)
	r.receiveDraining(m.Router, m.Digest.ShuttingDown)
	r.lastSeqs[m.Router] = m.Seq
	if m.Heard == 0 {
		return
	}
	if at, known := r.witness.SentAt(m.Heard); known {
		if at > r.confirmedFor {
			r.confirmedAt, r.confirmedFor = bootTime(), at
			r.storeAnswersOthers(at)
		}
		r.confirmRevision(at, m)
	}
}

// storeAnswersOthers records that the store answered another router after the given time. A
// store that this router has not reached since is available again from that time: entries that
// lapsed in the outage count from then, not from when the message arrived or from this
// router's own next answer. The caller holds mu.
func (r *Router) storeAnswersOthers(at time.Duration) {
	if at > r.storeLostAt {
		r.roster.StoreBack(wallTime(at))
	}
}

// confirmRevision records that the message's revision was current at the given time. The
// caller holds mu.
func (r *Router) confirmRevision(at time.Duration, m digest.Message) {
	if r.mirror.Revision() >= m.Revision && r.table.Load() != nil {
		r.confirmFresh(at)
		return
	}
	r.pending.at, r.pending.revision, r.pending.router = at, m.Revision, m.Router
	select {
	case r.catchUpNeeded <- struct{}{}:
	default:
	}
}

// confirmPending confirms the pending revision that other routers reported as current, once this
// router has it. The caller holds mu.
func (r *Router) confirmPending() {
	if r.pending.revision != 0 && r.mirror.Revision() >= r.pending.revision && r.table.Load() != nil {
		r.confirmFresh(r.pending.at)
		r.pending.revision = 0
	}
}

// lastHeard returns the sequence number of the last message received from each router.
func (r *Router) lastHeard() map[string]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.lastSeqs)
}
