package direct

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"goldcrestport/coordination/pace"
	"goldcrestport/coordination/telling"
	"goldcrestport/coordination/watchduty"
	"goldcrestport/protocol/digest"
)

// confirmation is this router's last answer from the store, for the other routers.
type confirmation struct {
	// lastSeqs holds the sequence number of each router's last message before the store was
	// queried.
	lastSeqs map[string]uint32
	revision uint64
}

// gossiper is the task that sends this router's digests.
type gossiper struct {
	r    *Router
	conn *net.UDPConn
	// seq starts at a random number, so that messages about an earlier incarnation of this
	// router are not taken for messages about this one.
	seq uint32
	buf []byte
	// forwardBuf is the buffer of an encoded message to forward.
	forwardBuf   []byte
	nextFull     time.Time
	nextTeams    time.Time
	destinations map[string]netip.AddrPort
	// watchers are the destinations that query the store; watches means that this router does.
	watchers map[string]netip.AddrPort
	watches  bool
	// period is the interval between digests.
	period time.Duration
	// digestSent is when the last digest was sent, reportsSent when new crash reports were
	// last sent, and repeatsSent when the periodic reports were.
	digestSent, reportsSent, repeatsSent time.Time
	// pace decides when reports on the servers' pace are sent and to whom.
	pace *pace.Rounds
}

// run sends digests periodically and whenever the store has answered anew, and heartbeats in
// between to the routers that query the store.
func (t *gossiper) run(ctx context.Context) {
	for {
		t.period = max(digestInterval, time.Duration(len(t.destinations))*time.Second/digestBudget)
		t.r.setPeriod(t.period)
		select {
		case <-ctx.Done():
			return
		case <-t.r.storeConfirmed:
			t.sendDigest(time.Now(), true)
		case <-t.r.reportsReady:
		case now := <-time.After(min(t.period, heartbeatInterval)):
			if now.Sub(t.digestSent) >= t.period {
				t.sendDigest(now, t.watches)
			} else {
				t.sendHeartbeat()
			}
		}
		t.sendCrashReports(time.Now())
		t.sendPace(time.Now())
	}
}

// sendHeartbeat sends a heartbeat (a message without a digest) to the routers that query the
// store.
func (t *gossiper) sendHeartbeat() {
	r := t.r
	r.mu.Lock()
	t.nextSeq()
	r.mu.Unlock()
	t.buf = digest.Append(t.buf[:0], digest.Message{
		Router: r.set.ID, Seq: t.seq, DataCentre: digest.DataCentreOf(r.set.DataCentre), PassesOn: r.offersForwarding(), Rotation: r.rotationMessage(time.Now()),
	})
	for id, to := range t.watchers {
		t.send(id, to, confirmation{})
	}
}

// offersForwarding reports whether this router offers to forward messages: a router that reads
// late would delay them.
func (r *Router) offersForwarding() bool { return !r.load.saturated.Load() && !r.shuttingDown.Load() }

// nextSeq assigns the next message its sequence number. The caller holds the router's lock.
func (t *gossiper) nextSeq() {
	t.seq = max(t.seq+1, 1)
	t.r.witness.Sent(t.seq, bootTime())
}

// send sends the encoded message to one router.
func (t *gossiper) send(id string, to netip.AddrPort, confirmed confirmation) {
	digest.SetHeard(t.buf, confirmed.lastSeqs[id], confirmed.revision)
	if _, err := t.conn.WriteToUDPAddrPort(t.buf, to); err != nil {
		t.r.metrics.peerErrors.Add(1)
	}
}

// sendDigest sends one digest to every other router. One that confirms the store's revision is
// sent through more than one router of each other data centre.
func (t *gossiper) sendDigest(now time.Time, confirms bool) {
	m := digest.Message{Router: t.r.set.ID, DataCentre: digest.DataCentreOf(t.r.set.DataCentre), PassesOn: t.r.offersForwarding(), Rotation: t.r.rotationMessage(now)}
	all, teams := !now.Before(t.nextFull), !now.Before(t.nextTeams)
	if all {
		t.nextFull = now.Add(fullDigestInterval)
	}
	if teams {
		t.nextTeams = now.Add(teamsInterval)
	}
	t.digestSent = now
	r := t.r
	r.mu.Lock()
	t.updateDestinations()
	m.Digest = r.admission.Digest(now, all, teams)
	m.Digest.ShuttingDown = r.drainingServers()
	confirmed := r.lastConfirmation
	plan := t.planRound(now, confirms)
	m.Changes, m.After = r.attached.takeAll()
	t.nextSeq()
	r.mu.Unlock()
	m.Seq = t.seq
	t.buf = digest.Append(t.buf[:0], m)
	if len(t.buf)+digest.PassOnSize(len(t.destinations)) > maxDatagram {
		m.Changes = nil
		t.buf = digest.Append(t.buf[:0], m)
	}
	for _, id := range plan.Direct {
		t.send(id, t.destinations[id], confirmed)
	}
	for _, crossing := range plan.Crossings {
		t.sendAcross(crossing, confirmed)
	}
}

// planRound returns who gets the next digest. The caller holds the router's lock.
func (t *gossiper) planRound(now time.Time, confirms bool) telling.Plan {
	round := telling.Round{Period: t.period, Copies: 1, Direct: func(id string) bool { _, ok := t.watchers[id]; return ok }}
	if confirms {
		round.Copies = confirmationCopies
	}
	return t.r.fleet.Next(now, slices.Collect(maps.Keys(t.destinations)), round)
}

// sendAcross sends the encoded message to another data centre.
func (t *gossiper) sendAcross(crossing telling.Crossing, confirmed confirmation) {
	p := digest.PassOn{Revision: confirmed.revision, Heard: make(map[digest.Router]uint32, len(crossing.To)), Message: t.buf}
	for _, id := range crossing.To {
		if seq := confirmed.lastSeqs[id]; seq != 0 {
			p.Heard[digest.RouterOf(id)] = seq
		}
	}
	t.forwardBuf = digest.AppendPassOn(t.forwardBuf[:0], p)
	for _, id := range crossing.By {
		if _, err := t.conn.WriteToUDPAddrPort(t.forwardBuf, t.destinations[id]); err != nil {
			t.r.metrics.peerErrors.Add(1)
		}
	}
}

// updateDestinations updates the destinations to the routers that are registered now. The
// caller holds the router's lock.
func (t *gossiper) updateDestinations() {
	if t.r.peersChanged {
		t.r.peersChanged = false
		clear(t.destinations)
		clear(t.watchers)
		chosen := watchduty.DefaultConfig().Chosen(t.r.routers())
		t.watches = slices.Contains(chosen, t.r.set.ID)
		t.r.fleet.Keep(func(id string) bool { _, ok := t.r.peers[id]; return ok })
		for id, one := range t.r.peers {
			to, err := netip.ParseAddrPort(one.Address)
			if id != t.r.set.ID && err == nil {
				t.destinations[id] = to
				if slices.Contains(chosen, id) {
					t.watchers[id] = to
				}
			}
		}
	}
}
