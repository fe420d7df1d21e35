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
	seq          uint32
	buf          []byte
	nextAll      time.Time
	nextTeams    time.Time
	destinations map[string]netip.AddrPort
	// watchers are those of the destinations that ask the store.
	watchers map[string]netip.AddrPort
	// told is when the last digest went out, warned when the last news of
	// crashes did, and stood when what stands of it did.
	told, warned, stood time.Time
}

// run sends digests in time, a new word of the store's at once, and greetings
// to the routers that ask the store in between.
func (t *teller) run(ctx context.Context) {
	for {
		every := max(tellEvery, time.Duration(len(t.destinations))*time.Second/tellBudget)
		t.r.load.setPeriod(every)
		select {
		case <-ctx.Done():
			return
		case <-t.r.vouched:
			t.tell(time.Now())
		case <-t.r.suspected:
		case now := <-time.After(min(every, greetEvery)):
			if now.Sub(t.told) >= every {
				t.tell(now)
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
		Router: r.set.ID, Seq: t.seq, DataCentre: digest.DataCentreOf(r.set.DataCentre), Rotation: r.rotationWord(time.Now()),
	})
	for id, to := range t.watchers {
		t.send(id, to, vouching{})
	}
}

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

// tell sends one digest to every other router.
func (t *teller) tell(now time.Time) {
	m := digest.Message{Router: t.r.set.ID, DataCentre: digest.DataCentreOf(t.r.set.DataCentre), Rotation: t.r.rotationWord(now)}
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
	m.Changes, m.After = r.passing.take()
	t.number()
	r.mu.Unlock()
	m.Seq = t.seq
	t.buf = digest.Append(t.buf[:0], m)
	if len(t.buf) > maxDatagram {
		m.Changes = nil
		t.buf = digest.Append(t.buf[:0], m)
	}
	for id, to := range t.destinations {
		t.send(id, to, vouch)
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
		if crashreport.Is(buf[:n]) {
			if err := r.takeReport(buf[:n]); err != nil {
				r.metrics.peerErrors.Add(1)
			}
			continue
		}
		m, err := digest.Read(buf[:n])
		if err != nil {
			r.metrics.peerErrors.Add(1)
			continue
		}
		if m.DataCentre == digest.DataCentreOf(r.set.DataCentre) {
			r.load.heard(time.Now(), m.Router, m.Rotation)
		}
		r.takePassed(m)
		r.hear(m)
	}
}

// hear takes one message of another router.
func (r *Router) hear(m digest.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.Told(time.Now(), m.Router, m.Digest)
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
