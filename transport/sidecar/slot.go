package sidecar

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"goldcrestport/coordination/lease"
	"goldcrestport/state/attempts"
	"goldcrestport/transport/platform"
)

// SlotPrefix is the platform's prefix of the keys that hold the slots.
const SlotPrefix = "goldcrest/slots/"

// slotEvery is the period in which the hold on the slot is looked at.
const slotEvery = 500 * time.Millisecond

// slotCall bounds the calls to the platform for one action.
const slotCall = 10 * time.Second

// holder is the value of a slot's key.
type holder struct {
	Incarnation string `json:"incarnation"`
	// Address that the holder has bound. Another process that has bound the
	// same address knows that the holder is gone.
	Address string `json:"address"`
}

// slot is the duty that holds the sidecar's slot at the platform.
type slot struct {
	s *Sidecar

	mu   sync.Mutex
	core *lease.State
	// id of the lease, empty if none, and the fencing token: the version of
	// the key, which rises with each holder.
	id    string
	fence uint64
}

func newSlot(s *Sidecar) *slot {
	cfg := lease.ForTTL(s.set.Backend.LeaseTTL.D())
	cfg.Seed = uint64(time.Now().UnixNano())
	return &slot{s: s, core: lease.New(cfg)}
}

func (l *slot) key() string { return SlotPrefix + l.s.set.ID }

// mayStart reports whether a run of the incarnation may be started now.
func (l *slot) mayStart(r *runs) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r == l.s.runs.Load() && l.core.MayStart(time.Now())
}

// Fence returns the fencing token of the slot's present holder, 0 if the slot
// is not held for sure.
func (s *Sidecar) Fence() uint64 {
	l := s.slot
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core.Phase() != lease.Held || !l.core.MayStart(time.Now()) {
		return 0
	}
	return l.fence
}

func (l *slot) ready() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.core.MayStart(time.Now()) {
		return errors.New("the slot is not held")
	}
	return nil
}

// run is the duty's loop.
func (l *slot) run(ctx context.Context) {
	ticker := time.NewTicker(slotEvery)
	defer ticker.Stop()
	for {
		if act := l.step(ctx, lease.Ticked{}); act != nil {
			go func() { l.step(ctx, l.perform(ctx, act)) }()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step applies one event and drains the sidecar while it may start nothing.
func (l *slot) step(ctx context.Context, ev lease.Event) lease.Action {
	l.mu.Lock()
	before := l.core.Phase()
	act := l.core.Step(time.Now(), ev)
	after, may := l.core.Phase(), l.core.MayStart(time.Now())
	fence := l.fence
	l.mu.Unlock()
	if before != after {
		_ = l.s.log.Log("event", "slot", "phase", after, "fence", fence, "incarnation", l.s.runs.Load().incarnation)
	}
	l.s.drain.set(ctx, drainByLease, !may)
	return act
}

func (l *slot) perform(ctx context.Context, act lease.Action) lease.Event {
	ctx, cancel := context.WithTimeout(ctx, slotCall)
	defer cancel()
	switch act := act.(type) {
	case lease.Renew:
		return l.renew(ctx, act.Verify)
	case lease.Acquire:
		return l.acquire(ctx, act.Fresh)
	}
	return lease.NoAnswer{}
}

// renew renews the lease and, on a verify, reads back who holds the key.
func (l *slot) renew(ctx context.Context, verify bool) lease.Event {
	sent := time.Now()
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	err := l.s.store.Renew(ctx, id)
	if err == nil && verify {
		var h holder
		h, _, err = l.read(ctx)
		if err == nil && h.Incarnation != l.s.runs.Load().incarnation {
			return lease.Conflict{}
		}
	}
	switch {
	case err == nil:
		return lease.Renewed{Sent: sent}
	case errors.Is(err, platform.ErrNotFound):
		return lease.Lapsed{}
	default:
		return lease.NoAnswer{}
	}
}

func (l *slot) read(ctx context.Context) (holder, uint64, error) {
	var h holder
	e, err := l.s.store.Get(ctx, l.key())
	if err != nil {
		return h, 0, err
	}
	// A value that can't be read is held by nobody that is known.
	_ = json.Unmarshal(e.Value, &h)
	return h, e.Version, nil
}

// acquire takes the slot by compare-and-swap, if nobody holds it or its holder
// is known to be gone.
func (l *slot) acquire(ctx context.Context, fresh bool) lease.Event {
	sent := time.Now()
	own := holder{Incarnation: l.s.runs.Load().incarnation, Address: l.s.set.Listen.Peers}
	if fresh {
		own.Incarnation = uuid.NewString()
	}
	h, version, err := l.read(ctx)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return lease.NoAnswer{}
	case h.Address != own.Address && h.Incarnation != own.Incarnation:
		return lease.Conflict{}
	}
	id, err := l.s.store.Grant(ctx, l.s.set.Backend.LeaseTTL.D())
	if err != nil {
		return lease.NoAnswer{}
	}
	fence, ev := l.write(ctx, own, version, id)
	if ev != nil {
		return ev
	}
	l.mu.Lock()
	l.id, l.fence = id, fence
	l.mu.Unlock()
	if fresh {
		l.s.reborn(own.Incarnation)
	}
	return lease.Acquired{Sent: sent}
}

// write writes the key. A write whose answer was lost is read back. It returns
// the event that ends the try, or nil if the key was written.
func (l *slot) write(ctx context.Context, own holder, version uint64, id string) (uint64, lease.Event) {
	value, err := json.Marshal(own)
	if err != nil {
		return 0, lease.NoAnswer{}
	}
	fence, err := l.s.store.Put(ctx, l.key(), value, version, id)
	switch {
	case err == nil:
		return fence, nil
	case errors.Is(err, platform.ErrConflict):
		_ = l.s.store.Revoke(ctx, id)
		return 0, lease.Conflict{}
	case !errors.Is(err, platform.ErrUnknown):
		return 0, lease.NoAnswer{}
	}
	h, fence, err := l.read(ctx)
	if err != nil || h != own || fence == version {
		return 0, lease.NoAnswer{}
	}
	return fence, nil
}

// reborn makes the process another incarnation, which knows of no attempt.
func (s *Sidecar) reborn(incarnation string) {
	old := s.runs.Swap(newRuns(incarnation, attempts.DefaultConfig()))
	old.retire()
}

// release gives the slot back, so that a successor need not wait.
func (l *slot) release() {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.s.set.Platform.Timeout.D())
	defer cancel()
	_ = l.s.store.Revoke(ctx, id)
}
