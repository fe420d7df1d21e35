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

// SlotPrefix is the prefix of the platform keys that store the slot holders.
const SlotPrefix = "goldcrest/slots/"

// slotInterval is the interval at which the state of the slot's lease is checked.
const slotInterval = 500 * time.Millisecond

// slotActionTimeout bounds the platform calls of one action.
const slotActionTimeout = 10 * time.Second

// holder is the value stored under a slot's key.
type holder struct {
	Incarnation string `json:"incarnation"`
	// Address is the address that the holder has bound. Another process that
	// has bound the same address can conclude that the holder is gone.
	Address string `json:"address"`
}

// slot is the event loop that holds the lease of the sidecar's slot on the
// platform.
type slot struct {
	s *Sidecar

	mu   sync.Mutex
	core *lease.State
	// id is the lease's id, empty if there is none. fence is the fencing token:
	// the version of the key, which increases with each holder.
	id    string
	fence uint64
}

func newSlot(s *Sidecar) *slot {
	cfg := lease.ForTTL(s.set.Backend.LeaseTTL.D())
	cfg.Seed = uint64(time.Now().UnixNano())
	return &slot{s: s, core: lease.New(cfg)}
}

func (l *slot) key() string { return SlotPrefix + l.s.set.ID }

// mayStart reports whether the incarnation of the table may start a run now.
func (l *slot) mayStart(r *runs) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r == l.s.runs.Load() && l.core.MayStart(time.Now())
}

// Fence returns the fencing token under which this process holds the slot, 0
// if it is not certain to hold it.
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

// run steps the lease state until ctx ends.
func (l *slot) run(ctx context.Context) {
	ticker := time.NewTicker(slotInterval)
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

// step applies one event and drains the sidecar while it may not start runs.
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
	ctx, cancel := context.WithTimeout(ctx, slotActionTimeout)
	defer cancel()
	switch act := act.(type) {
	case lease.Renew:
		return l.renew(ctx, act.Verify)
	case lease.Acquire:
		return l.acquire(ctx, act.Fresh)
	}
	return lease.NoAnswer{}
}

// renew renews the lease and, if verify is set, reads back who holds the key.
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
	// A value that cannot be decoded counts as an unknown holder.
	_ = json.Unmarshal(e.Value, &h)
	return h, e.Version, nil
}

// acquire takes the slot by compare-and-swap if it has no holder or its holder
// is known to be gone. If fresh is set, it does so as a new incarnation.
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
		l.s.startIncarnation(own.Incarnation)
	}
	return lease.Acquired{Sent: sent}
}

// write writes the key and returns its new version. If the response is lost,
// the key is read back. The event is that of a failed write, nil if the key was
// written.
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

// startIncarnation replaces the incarnation of the process; the new one has an
// empty table of attempts.
func (s *Sidecar) startIncarnation(incarnation string) {
	old := s.runs.Swap(newRuns(incarnation, attempts.DefaultConfig()))
	old.retire()
}

// release revokes the slot's lease, so that a successor need not wait for it to
// expire.
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
