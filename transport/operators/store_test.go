package operators

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestport/transport/platform"
)

// faults are the probabilities of the faults injected by the fake store.
type faults struct {
	// lostBefore drops the call; lostAfter drops its response; late applies a
	// write some time after the call has returned an error.
	lostBefore, lostAfter, late, busy float64
}

// store is an in-memory platform.Store with fault injection. Only Get and Put are used
// here; the rest comes from the embedded nil interface.
type store struct {
	platform.Store
	mu       sync.Mutex
	rng      *rand.Rand
	entries  map[string]platform.Entry
	version  uint64
	faults   faults
	down     bool
	lost     int
	applying sync.WaitGroup
}

func newStore(seed uint64) *store {
	return &store{rng: rand.New(rand.NewPCG(seed, seed)), entries: map[string]platform.Entry{}}
}

func (s *store) set(f faults, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.down = f, down
}

func (s *store) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

func (s *store) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.down || s.chance(s.faults.lostBefore) {
		return platform.Entry{}, platform.ErrUnknown
	}
	e, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (s *store) Put(ctx context.Context, key string, value []byte, version uint64, _ string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case ctx.Err() != nil || s.down || s.chance(s.faults.lostBefore):
		s.lost++
		return 0, platform.ErrUnknown
	case s.chance(s.faults.busy):
		return 0, platform.ErrBusy
	case s.chance(s.faults.late):
		s.lost++
		s.applyLater(key, value, version, time.Duration(s.rng.IntN(5000))*time.Microsecond)
		return 0, platform.ErrUnknown
	}
	v, err := s.put(key, value, version)
	if s.chance(s.faults.lostAfter) {
		s.lost++
		return 0, platform.ErrUnknown
	}
	return v, err
}

// applyLater applies the write after the call has returned an error.
func (s *store) applyLater(key string, value []byte, version uint64, delay time.Duration) {
	s.applying.Add(1)
	time.AfterFunc(delay, func() {
		defer s.applying.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.put(key, value, version)
	})
}

func (s *store) put(key string, value []byte, version uint64) (uint64, error) {
	if version != platform.AnyVersion && s.entries[key].Version != version {
		return 0, platform.ErrConflict
	}
	s.version++
	s.entries[key] = platform.Entry{Key: key, Value: value, Version: s.version}
	return s.version, nil
}
