package sidecar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"goldcrestport/protocol/settings"
	"goldcrestport/transport/platform"
)

// slotStore is a key-value store with leases that can be unavailable or lose the
// response to a write.
type slotStore struct {
	platform.Store
	mu            sync.Mutex
	entry         platform.Entry
	lease         string
	leases        map[string]time.Time
	version       uint64
	unavailable   bool
	lostResponses int
}

func newSlotStore() *slotStore { return &slotStore{leases: map[string]time.Time{}} }

// enter locks the store, removes expired leases and fails if the store is unavailable.
func (s *slotStore) enter() error {
	s.mu.Lock()
	for id, until := range s.leases {
		if !time.Now().Before(until) {
			delete(s.leases, id)
		}
	}
	if _, ok := s.leases[s.lease]; !ok {
		s.entry = platform.Entry{}
	}
	if s.unavailable {
		return platform.ErrUnknown
	}
	return nil
}

func (s *slotStore) setUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = down
}

func (s *slotStore) Get(context.Context, string) (platform.Entry, error) {
	err := s.enter()
	defer s.mu.Unlock()
	if err == nil && s.entry.Version == 0 {
		err = platform.ErrNotFound
	}
	return s.entry, err
}

func (s *slotStore) Put(_ context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	err := s.enter()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if s.entry.Version != version {
		return 0, platform.ErrConflict
	}
	s.version++
	s.entry, s.lease = platform.Entry{Key: key, Value: value, Version: s.version}, lease
	if s.lostResponses > 0 {
		s.lostResponses--
		return 0, platform.ErrUnknown
	}
	return s.version, nil
}

const testTTL = 75 * time.Second

func (s *slotStore) Grant(context.Context, time.Duration) (string, error) {
	err := s.enter()
	defer s.mu.Unlock()
	id := fmt.Sprint("lease-", len(s.leases), time.Now().UnixNano())
	s.leases[id] = time.Now().Add(testTTL)
	return id, err
}

func (s *slotStore) Renew(_ context.Context, id string) error {
	err := s.enter()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok && err == nil {
		return platform.ErrNotFound
	}
	if err == nil {
		s.leases[id] = time.Now().Add(testTTL)
	}
	return err
}

func (s *slotStore) Revoke(_ context.Context, id string) error {
	err := s.enter()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.leases, id)
	}
	return err
}

// startSlot runs the scheduler and the slot's event loop of a sidecar that has
// bound the address.
func startSlot(ctx context.Context, store platform.Store, address string) *Sidecar {
	set := settings.DefaultSidecar()
	set.ID, set.Listen.Peers = "sidecar-1", address
	s := New(set, store, nil, log.NewNopLogger())
	s.ctx = ctx
	go s.scheduler.run(ctx)
	go s.slot.run(ctx)
	return s
}

func mayStart(s *Sidecar) bool { return s.slot.mayStart(s.runs.Load()) }

// bubble runs the test in a synctest bubble with a fake clock.
func bubble(t *testing.T, test func(c *qt.C, ctx context.Context, store *slotStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(qt.New(t), ctx, newSlotStore())
		cancel()
		synctest.Wait()
	})
}

func TestOneOfTwoSidecarsServesTheSlot(t *testing.T) {
	bubble(t, func(c *qt.C, ctx context.Context, store *slotStore) {
		firstCtx, kill := context.WithCancel(ctx)
		first := startSlot(firstCtx, store, "10.0.0.1:1")
		time.Sleep(time.Second)
		second := startSlot(ctx, store, "10.0.0.2:1")
		for range 300 {
			time.Sleep(time.Second)
			c.Assert(mayStart(first), qt.IsTrue)
			c.Assert(mayStart(second), qt.IsFalse)
		}
		before := second.runs.Load().incarnation
		fence := first.Fence()
		kill()
		time.Sleep(testTTL + 40*time.Second)
		c.Assert(mayStart(second), qt.IsTrue)
		c.Assert(second.Fence() > fence, qt.IsTrue)
		c.Assert(second.runs.Load().incarnation, qt.Not(qt.Equals), before)
	})
}

// A successor that has bound the same address need not wait for the lease of its
// killed predecessor to expire.
func TestSuccessorAtTheSameAddressServesImmediately(t *testing.T) {
	bubble(t, func(c *qt.C, ctx context.Context, store *slotStore) {
		firstCtx, kill := context.WithCancel(ctx)
		startSlot(firstCtx, store, "10.0.0.1:1")
		time.Sleep(time.Second)
		kill()
		second := startSlot(ctx, store, "10.0.0.1:1")
		time.Sleep(time.Second)
		c.Assert(mayStart(second), qt.IsTrue)
	})
}

func TestOutageAfterTheStartDoesNotStopServing(t *testing.T) {
	bubble(t, func(c *qt.C, ctx context.Context, store *slotStore) {
		s := startSlot(ctx, store, "10.0.0.1:1")
		time.Sleep(time.Second)
		before := s.runs.Load()
		store.setUnavailable(true)
		for range 600 {
			time.Sleep(time.Second)
			c.Assert(mayStart(s), qt.IsTrue)
		}
		store.setUnavailable(false)
		time.Sleep(time.Minute)
		c.Assert(mayStart(s), qt.IsTrue)
		c.Assert(s.runs.Load(), qt.Equals, before)
		c.Assert(s.Fence() > 0, qt.IsTrue)
	})
}

func TestKeyIsReadBackAfterALostPutResponse(t *testing.T) {
	bubble(t, func(c *qt.C, ctx context.Context, store *slotStore) {
		store.lostResponses = 1
		s := startSlot(ctx, store, "10.0.0.1:1")
		time.Sleep(time.Second)
		c.Assert(mayStart(s), qt.IsTrue)
		c.Assert(s.Fence(), qt.Equals, uint64(1))
	})
}
