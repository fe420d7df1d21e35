package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"goldcrestport/coordination/share"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/ledger"
	"goldcrestport/transport/platform"
)

// Limits of the exchange of service counters.
const (
	// exchangeFanOut is the minimum number of peers contacted in one interval.
	exchangeFanOut = 3
	// exchangeRound is the time in which every peer is contacted once. The
	// service gap of teams that few sidecars see grows with it
	// (docs/FAIRNESS.md). It is well below the time after which the counters of
	// an unresponsive peer are no longer extrapolated.
	exchangeRound = 6 * time.Second
	// exchangeBudget bounds the traffic that one process sends, in bytes per second.
	exchangeBudget = 8 << 10
	// exchangeTimeout bounds one call.
	exchangeTimeout = time.Second
	// counterSize is the encoded size of one of the sender's own counters with a
	// long team name, in bytes.
	counterSize = 48
	// maxSnapshotCounters bounds the counters sent to a restarted peer.
	maxSnapshotCounters = 4096
)

// peerLister lists the instances; the list may be out of date.
type peerLister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// peerRotation selects the next peers at random, each once per round.
type peerRotation struct {
	rng       *rand.Rand
	remaining []string
}

// next returns up to n of the addresses.
func (r *peerRotation) next(addresses []string, n int) []string {
	known := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		known[a] = true
	}
	var out []string
	for len(out) < min(n, len(addresses)) {
		if len(r.remaining) == 0 {
			r.remaining = append(r.remaining, addresses...)
			r.rng.Shuffle(len(r.remaining), func(i, j int) { r.remaining[i], r.remaining[j] = r.remaining[j], r.remaining[i] })
		}
		a := r.remaining[0]
		r.remaining = r.remaining[1:]
		if known[a] {
			known[a] = false
			out = append(out, a)
		}
	}
	return out
}

// fanOut returns how many peers to contact in one interval.
func fanOut(peers int, every time.Duration) int {
	round := int((time.Duration(peers)*every + exchangeRound - 1) / exchangeRound)
	return max(exchangeFanOut, round)
}

// exchanger is the event loop that exchanges service counters with the other
// sidecars of the service.
type exchanger struct {
	id, service, incarnation string
	every                    time.Duration
	peers                    peerLister
	call                     func(ctx context.Context, addr string, m *wire.Counters) (*wire.Counters, error)
	// query runs a query in the scheduler and waits for it.
	query    func(ctx context.Context, query func(*share.State)) bool
	post     func(ctx context.Context, ev share.Event)
	traffic  func(in, out int)
	rotation peerRotation
	// restored is set once a peer has sent its snapshot of the counters.
	restored bool
}

func newExchanger(s *Sidecar, incarnation string) *exchanger {
	return &exchanger{
		id:          s.set.ID,
		service:     s.set.Service,
		incarnation: incarnation,
		every:       s.set.ExchangeEvery.D(),
		peers:       s.spread,
		call: func(ctx context.Context, addr string, m *wire.Counters) (*wire.Counters, error) {
			return s.pool.Sidecar(ctx, addr).Exchange(ctx, m)
		},
		query: s.scheduler.runQuery,
		post: func(ctx context.Context, ev share.Event) {
			s.scheduler.post(ctx, message{event: ev})
		},
		traffic:  s.metrics.control,
		rotation: peerRotation{rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
	}
}

// run exchanges counters until ctx ends.
func (x *exchanger) run(ctx context.Context) {
	for ctx.Err() == nil {
		jitter := time.Duration(x.rotation.rng.Int64N(int64(x.every)/2 + 1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(x.every*3/4 + jitter):
		}
		x.round(ctx)
	}
}

// round exchanges counters with the next peers.
func (x *exchanger) round(ctx context.Context) {
	addresses := x.addresses(ctx)
	n := fanOut(len(addresses), x.every)
	limit := max(1, int(x.every.Seconds()*exchangeBudget)/(2*n*counterSize))
	for _, addr := range x.rotation.next(addresses, n) {
		m, ok := x.dueCounters(ctx, limit)
		if !ok {
			return
		}
		m.WantAll = !x.restored
		x.exchange(ctx, addr, m)
	}
}

// addresses returns the addresses of the service's other live sidecars.
func (x *exchanger) addresses(ctx context.Context) []string {
	list, err := x.peers.Instances(ctx)
	if err != nil {
		return nil
	}
	var out []string
	for _, i := range list {
		if i.Role == platform.RoleSidecar && i.Service == x.service && i.ID != x.id && i.State == platform.StateLive {
			out = append(out, i.Address)
		}
	}
	return out
}

// dueCounters returns up to limit of this sidecar's own counters that are due.
func (x *exchanger) dueCounters(ctx context.Context, limit int) (*wire.Counters, bool) {
	m := x.newMessage()
	ok := x.query(ctx, func(core *share.State) {
		for _, c := range core.Counters(limit) {
			m.Counters = append(m.Counters, &wire.Counter{Team: c.Team, Served: c.Served})
		}
	})
	return m, ok
}

func (x *exchanger) newMessage() *wire.Counters {
	return &wire.Counters{Service: x.service, Sender: x.id, Incarnation: x.incarnation}
}

func (x *exchanger) exchange(ctx context.Context, addr string, m *wire.Counters) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	x.traffic(0, proto.Size(m))
	response, err := x.call(ctx, addr, m)
	if err != nil {
		return
	}
	x.traffic(proto.Size(response), 0)
	x.restored = true
	x.post(ctx, countersReceived(response))
}

// handle serves a peer's exchange.
func (x *exchanger) handle(ctx context.Context, m *wire.Counters) (*wire.Counters, error) {
	if m.Service != x.service {
		return nil, errors.Newf("exchange: this pool is %s", x.service)
	}
	x.traffic(proto.Size(m), 0)
	x.post(ctx, countersReceived(m))
	out, ok := x.dueCounters(ctx, max(1, len(m.Counters)))
	if m.WantAll {
		out, ok = x.snapshot(ctx)
	}
	if !ok {
		return nil, ctx.Err()
	}
	x.traffic(0, proto.Size(out))
	return out, nil
}

// snapshot returns all known counters, from which a restarted peer restores
// its state.
func (x *exchanger) snapshot(ctx context.Context) (*wire.Counters, bool) {
	m := x.newMessage()
	ok := x.query(ctx, func(core *share.State) {
		counters, ahead := core.Snapshot()
		for _, c := range counters[:min(len(counters), maxSnapshotCounters)] {
			w := &wire.Counter{Team: c.Team, Served: c.Served}
			if c.Writer == x.id {
				w.Ahead = ahead[c.Team]
			} else {
				w.Writer, w.Incarnation = c.Writer, c.Incarnation
			}
			m.Counters = append(m.Counters, w)
		}
	})
	return m, ok
}

// countersReceived converts a peer's message to an event of the core.
func countersReceived(m *wire.Counters) share.CountersReceived {
	ev := share.CountersReceived{Ahead: map[string]float64{}}
	for _, c := range m.Counters {
		lc := ledger.Counter{Writer: c.Writer, Incarnation: c.Incarnation, Team: c.Team, Served: c.Served}
		if c.Writer == "" {
			lc.Writer, lc.Incarnation = m.Sender, m.Incarnation
		}
		if ahead := wire.Amount(c.Ahead); ahead > 0 {
			ev.Ahead[c.Team] = ahead
		}
		ev.Counters = append(ev.Counters, lc)
	}
	return ev
}

// Exchange implements wire.DRPCSidecarServer.
func (s *Sidecar) Exchange(ctx context.Context, m *wire.Counters) (*wire.Counters, error) {
	return s.exchanger.handle(ctx, m)
}
