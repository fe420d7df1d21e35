package sidecar

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/share"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
)

// peerPool connects exchangers without a network.
type peerPool struct {
	list  []platform.Instance
	peers map[string]*peer
	down  map[string]bool
}

type peer struct {
	*exchanger
	core    *share.State
	now     time.Time
	in, out int
}

func newPeerPool() *peerPool {
	return &peerPool{peers: map[string]*peer{}, down: map[string]bool{}}
}

func (p *peerPool) Instances(context.Context) ([]platform.Instance, error) { return p.list, nil }

func (p *peerPool) call(ctx context.Context, addr string, m *wire.Counters) (*wire.Counters, error) {
	if p.down[addr] {
		return nil, errors.New("peer is down")
	}
	return p.peers[addr].handle(ctx, m)
}

func (p *peerPool) add(id, incarnation string) *peer {
	cfg := share.DefaultConfig()
	cfg.LookAhead, cfg.Ledger.Writer, cfg.Ledger.Incarnation = 0, id, incarnation
	x := &peer{core: share.New(cfg), now: time.Unix(1000, 0)}
	x.exchanger = &exchanger{
		id: id, service: "pool", incarnation: incarnation, every: 2 * time.Second,
		peers: p, call: p.call,
		query: func(_ context.Context, query func(*share.State)) bool {
			query(x.core)
			return true
		},
		post:     func(_ context.Context, ev share.Event) { x.core.Step(x.now, ev) },
		traffic:  func(in, out int) { x.in, x.out = x.in+in, x.out+out },
		rotation: peerRotation{rng: rand.New(rand.NewPCG(1, 2))},
	}
	if p.peers[id] == nil {
		p.list = append(p.list, platform.Instance{
			ID: id, Address: id, Service: "pool", Role: platform.RoleSidecar, State: platform.StateLive,
		})
	}
	p.peers[id] = x
	return x
}

// serve runs one request of the team to completion.
func (x *peer) serve(team string, attempt uint64, cost float64) {
	x.core.Step(x.now, share.Offered{Attempt: attempt, Team: team})
	x.core.Step(x.now, share.Ended{Attempt: attempt, Cost: cost, Completed: true})
}

func (x *peer) known() map[string]float64 {
	counters, _ := x.core.Snapshot()
	out := map[string]float64{}
	for _, c := range counters {
		out[c.Writer+"/"+c.Incarnation+"/"+c.Team] = c.Served
	}
	return out
}

func TestExchangeCarriesCountersBothWays(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	pool := newPeerPool()
	a, b := pool.add("a", "1"), pool.add("b", "1")
	a.serve("team", 1, 30)
	b.serve("team", 1, 50)
	a.round(ctx)
	c.Assert(a.known()["b/1/team"], qt.Equals, 50.0)
	c.Assert(b.known()["a/1/team"], qt.Equals, 30.0)
	c.Assert(a.out > 0 && a.in > 0 && b.in == a.out && b.out == a.in, qt.IsTrue)
}

func TestExchangeSkipsUnresponsivePeers(t *testing.T) {
	c := qt.New(t)
	pool := newPeerPool()
	a := pool.add("a", "1")
	pool.add("b", "1")
	d := pool.add("d", "1")
	pool.down["b"] = true
	a.serve("team", 1, 30)
	a.round(context.Background())
	c.Assert(d.known()["a/1/team"], qt.Equals, 30.0)
	c.Assert(a.restored, qt.IsTrue)
}

func TestRestartedSidecarRestoresEveryCounter(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	pool := newPeerPool()
	a, b := pool.add("a", "1"), pool.add("b", "1")
	a.serve("team", 1, 30)
	b.serve("team", 1, 50)
	a.round(ctx)
	restarted := pool.add("a", "2")
	restarted.round(ctx)
	c.Assert(restarted.known()["b/1/team"], qt.Equals, 50.0)
	restarted.serve("team", 1, 7)
	restarted.round(ctx)
	c.Assert(b.known()["a/2/team"], qt.Equals, 7.0)
}

func TestExchangeRefusesAnotherPool(t *testing.T) {
	a := newPeerPool().add("a", "1")
	_, err := a.handle(context.Background(), &wire.Counters{Service: "other"})
	qt.Assert(t, err, qt.ErrorMatches, "exchange: this pool is pool")
}

// Every peer is contacted once in each round, and the bytes sent stay within the
// budget however many teams there are.
func TestExchangeIsBounded(t *testing.T) {
	c := qt.New(t)
	for _, peers := range []int{11, 115} {
		pool := newPeerPool()
		a := pool.add("self", "1")
		for i := range peers {
			pool.add(string(rune('A'+i)), "1")
		}
		for i := range 2000 {
			a.core.Step(a.now, share.Interest{Router: "r", Team: "a-team-with-a-long-name-" + string(rune(0x100+i)), Count: 1})
		}
		a.restored = true
		rounds := int(2 * exchangeRound / a.every)
		contacted := map[string]bool{}
		a.call = func(_ context.Context, addr string, m *wire.Counters) (*wire.Counters, error) {
			contacted[addr] = true
			return &wire.Counters{}, nil
		}
		for range rounds {
			a.round(context.Background())
		}
		rate := float64(a.out) / (float64(rounds) * a.every.Seconds())
		t.Logf("%d peers: %.0f bytes per second sent, %d contacted in %d rounds", peers, rate, len(contacted), rounds)
		c.Check(contacted, qt.HasLen, peers)
		c.Check(rate <= exchangeBudget, qt.IsTrue, qt.Commentf("%.0f", rate))
	}
}
