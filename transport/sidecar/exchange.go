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

// Bounds of the exchange of service counters.
const (
	// exchangeFanOut is how many peers are asked in one period, at least.
	exchangeFanOut = 3
	// exchangeRound is the time in which every peer has been asked once; the gap
	// of teams that few sidecars see grows with it (docs/FAIRNESS.md). It is
	// well below the time after which a silent peer is no longer extrapolated.
	exchangeRound = 6 * time.Second
	// exchangeBudget bounds what one process sends, in bytes per second.
	exchangeBudget = 8 << 10
	// exchangeTimeout bounds one call.
	exchangeTimeout = time.Second
	// counterSize is the size of a counter of the sender, in bytes, with a
	// long team name.
	counterSize = 48
	// mostStanding bounds the counters that a restarted peer gets.
	mostStanding = 4096
)

// peerLister lists the instances; the list may lag.
type peerLister interface {
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// rota chooses the next peers: at random, but each once in every round.
type rota struct {
	rng  *rand.Rand
	left []string
}

// next returns up to n of the addresses.
func (r *rota) next(addresses []string, n int) []string {
	known := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		known[a] = true
	}
	var out []string
	for len(out) < min(n, len(addresses)) {
		if len(r.left) == 0 {
			r.left = append(r.left, addresses...)
			r.rng.Shuffle(len(r.left), func(i, j int) { r.left[i], r.left[j] = r.left[j], r.left[i] })
		}
		a := r.left[0]
		r.left = r.left[1:]
		if known[a] {
			known[a] = false
			out = append(out, a)
		}
	}
	return out
}

// fanOut returns how many peers to ask in one period.
func fanOut(peers int, every time.Duration) int {
	round := int((time.Duration(peers)*every + exchangeRound - 1) / exchangeRound)
	return max(exchangeFanOut, round)
}

// exchanger is the duty that exchanges service counters with the pool.
type exchanger struct {
	id, service, incarnation string
	every                    time.Duration
	peers                    peerLister
	call                     func(ctx context.Context, addr string, m *wire.Counters) (*wire.Counters, error)
	// ask runs a query in the chooser and waits for it.
	ask     func(ctx context.Context, query func(*share.State)) bool
	post    func(ctx context.Context, ev share.Event)
	traffic func(in, out int)
	rota    rota
	// restored tells that a peer gave back what it knows.
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
		ask: s.chooser.ask,
		post: func(ctx context.Context, ev share.Event) {
			s.chooser.post(ctx, message{event: ev})
		},
		traffic: s.metrics.control,
		rota:    rota{rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
	}
}

// run exchanges until ctx ends.
func (x *exchanger) run(ctx context.Context) {
	for ctx.Err() == nil {
		jitter := time.Duration(x.rota.rng.Int64N(int64(x.every)/2 + 1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(x.every*3/4 + jitter):
		}
		x.round(ctx)
	}
}

// round exchanges with the next peers.
func (x *exchanger) round(ctx context.Context) {
	addresses := x.addresses(ctx)
	n := fanOut(len(addresses), x.every)
	most := max(1, int(x.every.Seconds()*exchangeBudget)/(2*n*counterSize))
	for _, addr := range x.rota.next(addresses, n) {
		m, ok := x.message(ctx, most)
		if !ok {
			return
		}
		m.WantAll = !x.restored
		x.exchange(ctx, addr, m)
	}
}

// addresses returns the live sidecars of the pool but this one.
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

// message returns the own counters that are due.
func (x *exchanger) message(ctx context.Context, most int) (*wire.Counters, bool) {
	m := x.envelope()
	ok := x.ask(ctx, func(core *share.State) {
		for _, c := range core.Counters(most) {
			m.Counters = append(m.Counters, &wire.Counter{Team: c.Team, Served: c.Served})
		}
	})
	return m, ok
}

func (x *exchanger) envelope() *wire.Counters {
	return &wire.Counters{Service: x.service, Sender: x.id, Incarnation: x.incarnation}
}

func (x *exchanger) exchange(ctx context.Context, addr string, m *wire.Counters) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	x.traffic(0, proto.Size(m))
	answer, err := x.call(ctx, addr, m)
	if err != nil {
		return
	}
	x.traffic(proto.Size(answer), 0)
	x.restored = true
	x.post(ctx, heardOf(answer))
}

// answer serves a peer's exchange.
func (x *exchanger) answer(ctx context.Context, m *wire.Counters) (*wire.Counters, error) {
	if m.Service != x.service {
		return nil, errors.Newf("exchange: this pool is %s", x.service)
	}
	x.traffic(proto.Size(m), 0)
	x.post(ctx, heardOf(m))
	out, ok := x.message(ctx, max(1, len(m.Counters)))
	if m.WantAll {
		out, ok = x.standing(ctx)
	}
	if !ok {
		return nil, ctx.Err()
	}
	x.traffic(0, proto.Size(out))
	return out, nil
}

// standing returns what a restarted peer needs to go on.
func (x *exchanger) standing(ctx context.Context) (*wire.Counters, bool) {
	m := x.envelope()
	ok := x.ask(ctx, func(core *share.State) {
		counters, ahead := core.Snapshot()
		for _, c := range counters[:min(len(counters), mostStanding)] {
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

// heardOf turns a peer's message into an event of the core.
func heardOf(m *wire.Counters) share.CountersReceived {
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
	return s.exchanger.answer(ctx, m)
}
