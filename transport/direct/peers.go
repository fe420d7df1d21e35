package direct

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/telling"
	"goldcrestport/coordination/watchduty"
	"goldcrestport/protocol/crashreport"
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
	// greetEvery is the greatest time between messages to a router that asks
	// the store: its word is as old as the last message that it heard before.
	greetEvery = 200 * time.Millisecond
	// allEvery is the time between digests that name every server, which mend
	// what lost ones left wrong.
	allEvery = time.Second
	// teamsEvery is the time between digests that name the teams. Their shares
	// are of the last seconds.
	teamsEvery = 250 * time.Millisecond
	// vouchCopies is the number of routers of another data centre that pass a word of
	// the store's on: one of them may have failed, and nobody know it yet.
	vouchCopies = 2
	// maxDatagram bounds a message, in bytes, below what UDP takes. Changes that
	// find no room beside the digest are asked for.
	maxDatagram = 60 << 10
)

// vouching is what this router found in the store last, for the others.
type vouching struct {
	// heard holds the last message of each router before the store was asked.
	heard    map[string]uint32
	revision uint64
}

// teller is the duty that sends this router's digests.
type teller struct {
	r    *Router
	conn *net.UDPConn
	// seq starts anywhere, so that words about an earlier life of this router
	// are not taken for this one's.
	seq uint32
	buf []byte
	// crossing holds the message to pass on that is written.
	crossing     []byte
	nextAll      time.Time
	nextTeams    time.Time
	destinations map[string]netip.AddrPort
	// watchers are those of the destinations that ask the store; watches tells that
	// this router does.
	watchers map[string]netip.AddrPort
	watches  bool
	// period is the time between digests.
	period time.Duration
	// told is when the last digest went out, warned when the last news of
	// crashes did, and stood when what stands of it did.
	told, warned, stood time.Time
}

// run sends digests in time, a new word of the store's at once, and greetings
// to the routers that ask the store in between.
func (t *teller) run(ctx context.Context) {
	for {
		every := max(tellEvery, time.Duration(len(t.destinations))*time.Second/tellBudget)
		t.period = every
		t.r.load.setPeriod(every)
		select {
		case <-ctx.Done():
			return
		case <-t.r.vouched:
			t.tell(time.Now(), true)
		case <-t.r.suspected:
		case now := <-time.After(min(every, greetEvery)):
			if now.Sub(t.told) >= every {
				t.tell(now, t.watches)
			} else {
				t.greet()
			}
		}
		t.warn(time.Now())
	}
}

// greet sends a message without a digest to the routers that ask the store.
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

// passesOn reports whether this router is to be asked to pass messages on: others hear
// sooner by one that is not late.
func (r *Router) passesOn() bool { return !r.load.saturated.Load() && !r.leaving.Load() }

// number gives the next message its number. The caller holds the router's lock.
func (t *teller) number() {
	t.seq = max(t.seq+1, 1)
	t.r.witness.Sent(t.seq, bootTime())
}

// send sends the written message to one router.
func (t *teller) send(id string, to netip.AddrPort, vouch vouching) {
	digest.SetHeard(t.buf, vouch.heard[id], vouch.revision)
	if _, err := t.conn.WriteToUDPAddrPort(t.buf, to); err != nil {
		t.r.metrics.peerErrors.Add(1)
	}
}

// tell makes one digest known to every other router. One that vouches for what the
// store answered goes by more than one router of each other data centre.
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
	m.Digest.Leaving = r.leavingServers()
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

// cross sends the written message to another data centre.
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

// addresses takes over the routers that are registered now. The caller holds
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
	if !r.fleet.Heard(now, telling.Message{Router: m.Router, DataCentre: telling.DataCentre(m.DataCentre), Seq: m.Seq, PassesOn: m.PassesOn}) {
		return
	}
	r.admission.Told(now, m.Router, m.Digest)
	r.toldLeaving(m.Router, m.Digest.Leaving)
	r.heard[m.Router] = m.Seq
	if m.Heard == 0 {
		return
	}
	if at, known := r.witness.Heard(m.Heard); known {
		if at > r.toldOf {
			r.toldAt, r.toldOf = bootTime(), at
			r.storeAnswersOthers(at)
		}
		r.trust(at, m)
	}
}

// storeAnswersOthers notes that the store answered another router after the time.
// One that this router has not reached since is back then: what lapsed in an outage
// comes back from now on, and not from this router's own next answer on. The caller
// holds mu.
func (r *Router) storeAnswersOthers(at time.Duration) {
	if at > r.lostAt {
		r.roster.StoreBack(time.Now())
	}
}

// trust notes that the message's revision was the newest at the time. The
// caller holds mu.
func (r *Router) trust(at time.Duration, m digest.Message) {
	if r.mirror.revision >= m.Revision && r.table.Load() != nil {
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
	if r.pending.revision != 0 && r.mirror.revision >= r.pending.revision && r.table.Load() != nil {
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
	lis, err := net.Listen("tcp", r.set.Listen.Peers)
	if err != nil {
		return errors.CombineErrors(err, conn.Close())
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go r.servePeers(ctx, lis)
	if err := r.serveSeeds(ctx); err != nil {
		return err
	}
	t := &teller{r: r, conn: conn, seq: rand.Uint32(), destinations: make(map[string]netip.AddrPort), watchers: make(map[string]netip.AddrPort)}
	go t.run(ctx)
	go r.listen(conn)
	return nil
}

// serveSeeds answers routers that begin.
func (r *Router) serveSeeds(ctx context.Context) error {
	if r.set.Listen.Seeds == "" {
		return nil
	}
	lis, err := net.Listen("tcp", r.set.Listen.Seeds)
	if err != nil {
		return errors.Wrap(err, "listen.seeds")
	}
	go r.servePeers(ctx, lis)
	return nil
}
