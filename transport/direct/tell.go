package direct

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"goldcrestport/coordination/telling"
	"goldcrestport/coordination/watchduty"
	"goldcrestport/protocol/digest"
)

// vouching is this router's last answer from the store, for the other routers.
type vouching struct {
	// heard holds the sequence number of each router's last message before the store was
	// queried.
	heard    map[string]uint32
	revision uint64
}

// teller is the task that sends this router's digests.
type teller struct {
	r    *Router
	conn *net.UDPConn
	// seq starts at a random number, so that messages about an earlier incarnation of this
	// router are not taken for messages about this one.
	seq uint32
	buf []byte
	// crossing is the buffer of an encoded message to forward.
	crossing     []byte
	nextAll      time.Time
	nextTeams    time.Time
	destinations map[string]netip.AddrPort
	// watchers are the destinations that query the store; watches tells that this router does.
	watchers map[string]netip.AddrPort
	watches  bool
	// period is the interval between digests.
	period time.Duration
	// told is when the last digest was sent, warned when new crash reports were last sent, and
	// stood when the periodic reports were.
	told, warned, stood time.Time
}

// run sends digests periodically and whenever the store has answered anew, and heartbeats in
// between to the routers that query the store.
func (t *teller) run(ctx context.Context) {
	for {
		t.period = max(tellEvery, time.Duration(len(t.destinations))*time.Second/tellBudget)
		t.r.setPeriod(t.period)
		select {
		case <-ctx.Done():
			return
		case <-t.r.vouched:
			t.tell(time.Now(), true)
		case <-t.r.suspected:
		case now := <-time.After(min(t.period, greetEvery)):
			if now.Sub(t.told) >= t.period {
				t.tell(now, t.watches)
			} else {
				t.greet()
			}
		}
		t.warn(time.Now())
	}
}

// greet sends a heartbeat (a message without a digest) to the routers that query the store.
func (t *teller) greet() {
	r := t.r
	r.mu.Lock()
	t.number()
	r.mu.Unlock()
	t.buf = digest.Append(t.buf[:0], digest.Message{
		Router: r.set.ID, Seq: t.seq, DataCentre: digest.DataCentreOf(r.set.DataCentre), PassesOn: r.passesOn(), Rotation: r.rotationWord(time.Now()),
	})
	for id, to := range t.watchers {
		t.send(id, to, vouching{})
	}
}

// passesOn reports whether this router offers to forward messages: a router that reads late
// would delay them.
func (r *Router) passesOn() bool { return !r.load.saturated.Load() && !r.leaving.Load() }

// number assigns the next message its sequence number. The caller holds the router's lock.
func (t *teller) number() {
	t.seq = max(t.seq+1, 1)
	t.r.witness.Sent(t.seq, bootTime())
}

// send sends the encoded message to one router.
func (t *teller) send(id string, to netip.AddrPort, vouch vouching) {
	digest.SetHeard(t.buf, vouch.heard[id], vouch.revision)
	if _, err := t.conn.WriteToUDPAddrPort(t.buf, to); err != nil {
		t.r.metrics.peerErrors.Add(1)
	}
}

// tell sends one digest to every other router. One that confirms the store's revision is sent
// through more than one router of each other data centre.
func (t *teller) tell(now time.Time, vouches bool) {
	m := digest.Message{Router: t.r.set.ID, DataCentre: digest.DataCentreOf(t.r.set.DataCentre), PassesOn: t.r.passesOn(), Rotation: t.r.rotationWord(now)}
	all, teams := !now.Before(t.nextAll), !now.Before(t.nextTeams)
	if all {
		t.nextAll = now.Add(allEvery)
	}
	if teams {
		t.nextTeams = now.Add(teamsEvery)
	}
	t.told = now
	r := t.r
	r.mu.Lock()
	t.addresses()
	m.Digest = r.admission.Digest(now, all, teams)
	m.Digest.ShuttingDown = r.leavingServers()
	vouch := r.vouch
	plan := t.plan(now, vouches)
	m.Changes, m.After = r.passing.take()
	t.number()
	r.mu.Unlock()
	m.Seq = t.seq
	t.buf = digest.Append(t.buf[:0], m)
	if len(t.buf)+digest.PassOnSize(len(t.destinations)) > maxDatagram {
		m.Changes = nil
		t.buf = digest.Append(t.buf[:0], m)
	}
	for _, id := range plan.Direct {
		t.send(id, t.destinations[id], vouch)
	}
	for _, crossing := range plan.Crossings {
		t.cross(crossing, vouch)
	}
}

// plan returns who gets the next digest. The caller holds the router's lock.
func (t *teller) plan(now time.Time, vouches bool) telling.Plan {
	round := telling.Round{Period: t.period, Copies: 1, Direct: func(id string) bool { _, ok := t.watchers[id]; return ok }}
	if vouches {
		round.Copies = vouchCopies
	}
	return t.r.fleet.Next(now, slices.Collect(maps.Keys(t.destinations)), round)
}

// cross sends the encoded message to another data centre.
func (t *teller) cross(crossing telling.Crossing, vouch vouching) {
	p := digest.PassOn{Revision: vouch.revision, Heard: make(map[digest.Router]uint32, len(crossing.To)), Message: t.buf}
	for _, id := range crossing.To {
		if seq := vouch.heard[id]; seq != 0 {
			p.Heard[digest.RouterOf(id)] = seq
		}
	}
	t.crossing = digest.AppendPassOn(t.crossing[:0], p)
	for _, id := range crossing.By {
		if _, err := t.conn.WriteToUDPAddrPort(t.crossing, t.destinations[id]); err != nil {
			t.r.metrics.peerErrors.Add(1)
		}
	}
}

// addresses updates the destinations to the routers that are registered now. The caller holds
// the router's lock.
func (t *teller) addresses() {
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
