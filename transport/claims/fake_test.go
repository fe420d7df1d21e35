package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
)

// fakeStore is an in-memory key-value service with fault injection: a call may
// fail before or after it takes effect, or take effect late.
type fakeStore struct {
	platform.Store

	mu      sync.Mutex
	rng     *rand.Rand
	entries map[string]platform.Entry
	down    bool
	// faults is the fraction of calls with an injected fault.
	faults float64
	writes int
	lost   int
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 1)), entries: map[string]platform.Entry{}}
}

func (s *fakeStore) set(down bool, faults float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.faults = down, faults
}

// drawFault returns the latency of a call and its injected fault, if any.
func (s *fakeStore) drawFault() (time.Duration, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := time.Duration(1+s.rng.IntN(4)) * time.Millisecond
	switch {
	case s.down:
		return wait, "before"
	case s.rng.Float64() >= s.faults:
		return wait, ""
	}
	return wait, []string{"before", "after", "late", "busy", "slow"}[s.rng.IntN(5)]
}

// Get implements platform.Store.
func (s *fakeStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	wait, fault := s.drawFault()
	time.Sleep(wait)
	if fault == "busy" {
		return platform.Entry{}, platform.ErrBusy
	}
	if fault != "" {
		return platform.Entry{}, platform.ErrUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, ctx.Err()
}

// Put implements platform.Store.
func (s *fakeStore) Put(ctx context.Context, key string, value []byte, version uint64, _ string) (uint64, error) {
	wait, fault := s.drawFault()
	time.Sleep(wait)
	switch fault {
	case "busy":
		return 0, platform.ErrBusy
	case "before":
		return 0, s.countLost()
	case "after":
		_, _ = s.put(key, value, version)
		return 0, s.countLost()
	case "late":
		go func() {
			time.Sleep(100 * wait)
			_, _ = s.put(key, value, version)
		}()
		return 0, s.countLost()
	case "slow":
		time.Sleep(100 * wait)
		v, err := s.put(key, value, version)
		if ctx.Err() != nil {
			return 0, s.countLost()
		}
		return v, err
	}
	return s.put(key, value, version)
}

// Grant implements platform.Store.
func (s *fakeStore) Grant(context.Context, time.Duration) (string, error) {
	wait, fault := s.drawFault()
	time.Sleep(wait)
	if fault != "" {
		return "", platform.ErrUnknown
	}
	return "lease", nil
}

func (s *fakeStore) countLost() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
	return platform.ErrUnknown
}

func (s *fakeStore) put(key string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	e := s.entries[key]
	if e.Version != version {
		return 0, platform.ErrConflict
	}
	s.entries[key] = platform.Entry{Key: key, Value: value, Version: version + 1}
	return version + 1, nil
}

// fakePeers connects Guards in one process, with injected connection faults.
type fakePeers struct {
	mu     sync.Mutex
	rng    *rand.Rand
	guards map[string]*Guard
	faults float64
}

func newFakePeers(seed uint64) *fakePeers {
	return &fakePeers{rng: rand.New(rand.NewPCG(seed, 2)), guards: map[string]*Guard{}}
}

func (p *fakePeers) put(g *Guard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guards[g.executor.Address] = g
}

func (p *fakePeers) set(faults float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Claims implements Peers.
func (p *fakePeers) Claims(_ context.Context, addr string) wire.DRPCClaimsClient {
	return &fakeClient{p, addr}
}

func (p *fakePeers) drawFault(addr string) (*Guard, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rng.Float64() >= p.faults {
		return p.guards[addr], ""
	}
	return p.guards[addr], []string{"refused", "lost after", "hangs"}[p.rng.IntN(3)]
}

type fakeClient struct {
	peers *fakePeers
	addr  string
}

var errConnectionLost = errors.New("connection lost")

func (c *fakeClient) DRPCConn() drpc.Conn { return nil }

func (c *fakeClient) Apply(ctx context.Context, m *wire.ClaimCall) (*wire.ClaimAnswer, error) {
	return relay(ctx, c, m, (*Guard).Apply)
}

func (c *fakeClient) Fate(ctx context.Context, m *wire.ClaimFateRequest) (*wire.ClaimFateResponse, error) {
	return relay(ctx, c, m, (*Guard).Fate)
}

func relay[In, Out any](ctx context.Context, c *fakeClient, m In, serve func(*Guard, context.Context, In) (*Out, error)) (*Out, error) {
	g, fault := c.peers.drawFault(c.addr)
	time.Sleep(time.Millisecond)
	if g == nil || g.ctx.Err() != nil || fault == "refused" {
		return nil, errConnectionLost
	}
	if fault == "hangs" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	out, err := serve(g, ctx, m)
	if fault != "" || g.ctx.Err() != nil {
		return nil, errConnectionLost
	}
	return out, err
}
