package router_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/transport/platform"
)

// claimStore adds storage for claims to a fleet's store.
type claimStore struct {
	*memStore
	mu      sync.Mutex
	entries map[string]platform.Entry
	down    bool
}

func (s *claimStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(key, "goldcrest/claims/") {
		return s.memStore.Get(ctx, key)
	}
	if s.down {
		return platform.Entry{}, platform.ErrUnknown
	}
	e, ok := s.entries[key]
	if !ok {
		return e, platform.ErrNotFound
	}
	return e, nil
}

func (s *claimStore) Put(_ context.Context, key string, value []byte, version uint64, _ string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.ErrUnknown
	}
	if s.entries[key].Version != version {
		return 0, platform.ErrConflict
	}
	s.entries[key] = platform.Entry{Key: key, Value: value, Version: version + 1}
	return version + 1, nil
}

func (s *claimStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// sendKeyed sends a non-idempotent request with an idempotency key.
func (f *fleet) sendKeyed(ctx context.Context, key, body string) (reply, error) {
	req := f.request(http.MethodPost, plainPath, body).WithContext(ctx)
	req.Header.Set("Idempotency-Key", key)
	return send(req)
}

func startClaimFleet(t *testing.T, h http.HandlerFunc) (*fleet, *claimStore, *backend) {
	b := newBackend(t, warm(h))
	f := newFleet(t)
	s := &claimStore{memStore: f.store, entries: map[string]platform.Entry{}}
	f.claims = s
	f.sidecar("sidecar-1", b.URL)
	f.start()
	b.runs.Store(0)
	return f, s, b
}

func TestKeyedCallIsReplayed(t *testing.T) {
	c := qt.New(t)
	f, _, b := startClaimFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/x")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("receipt 1"))
	})
	first, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	c.Assert(first.status, qt.Equals, http.StatusCreated)
	again, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	c.Check(again.status, qt.Equals, http.StatusCreated)
	c.Check(again.body, qt.Equals, "receipt 1")
	c.Check(again.header.Get("Goldcrest-Replayed"), qt.Equals, "true")
	c.Check(again.header.Get("Content-Type"), qt.Equals, "text/x")
	c.Check(again.outcome, qt.Equals, "completed")
	other, err := f.sendKeyed(t.Context(), "k", "6")
	c.Assert(err, qt.IsNil)
	c.Check(other.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Check(other.outcome, qt.Equals, "not-run")
	c.Check(b.runs.Load(), qt.Equals, int64(1))
}

func TestLargeAnswerIsReplayedByItsStatus(t *testing.T) {
	c := qt.New(t)
	f, _, b := startClaimFleet(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 5000))
	})
	_, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	again, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	c.Check(again.status, qt.Equals, http.StatusConflict)
	c.Check(again.outcome, qt.Equals, "completed")
	c.Check(again.body, qt.Contains, "completed with status 200")
	c.Check(b.runs.Load(), qt.Equals, int64(1))
}

func TestKeyedRunContinuesAfterCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	started := make(chan struct{}, 1)
	f, _, b := startClaimFleet(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		_, _ = w.Write([]byte("receipt"))
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, err := f.sendKeyed(ctx, "k", "5")
	c.Assert(err, qt.IsNotNil)
	running, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	c.Check(running.status, qt.Equals, http.StatusConflict)
	c.Check(running.outcome, qt.Equals, "unknown")
	c.Check(running.header.Get("Retry-After"), qt.Equals, "1")
	time.Sleep(time.Second)
	ended, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	c.Check(ended.body, qt.Equals, "receipt")
	c.Check(b.runs.Load(), qt.Equals, int64(1))
}

func TestPlatformDownRefusesKeyedCallsOnly(t *testing.T) {
	c := qt.New(t)
	f, s, b := startClaimFleet(t, func(w http.ResponseWriter, r *http.Request) {})
	s.setDown(true)
	started := time.Now()
	refused, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refused.outcome, qt.Equals, "not-run")
	c.Check(refused.header.Get("Retry-After"), qt.Equals, "1")
	c.Check(time.Since(started) < 5*time.Second, qt.IsTrue)
	c.Check(b.runs.Load(), qt.Equals, int64(0))
	plain, err := f.call(http.MethodPost, plainPath, "5")
	c.Assert(err, qt.IsNil)
	c.Check(plain.outcome, qt.Equals, "completed")
	s.setDown(false)
	time.Sleep(1200 * time.Millisecond)
	served, err := f.sendKeyed(t.Context(), "k", "5")
	c.Assert(err, qt.IsNil)
	c.Check(served.outcome, qt.Equals, "completed")
	c.Check(b.runs.Load(), qt.Equals, int64(2))
}
