package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/orders"
	"goldcrestport/transport/platform"
)

// permitTTL is the lease of a permit: how long one that is not given back
// stays taken.
const permitTTL = 30 * time.Second

// permitPrefix is the platform prefix of all permits.
const permitPrefix = "goldcrest/permits"

// permits are counted places on the platform, each a key under a lease, so
// that over the whole fleet only so many do a thing at once.
type permits struct {
	store  platform.Store
	holder string

	mu   sync.Mutex
	held map[orders.Permit]*permit
}

// permit is one place that is held.
type permit struct {
	lease string
	// stop ends the renewal of the lease.
	stop context.CancelFunc
}

// acquire takes one of the places below the prefix. It returns false when all
// are taken or the platform does not answer. lost is called if the lease
// lapses later.
func (p *permits) acquire(ctx context.Context, kind orders.Permit, prefix string, places int, lost func()) bool {
	free, err := p.free(ctx, prefix, places)
	if err != nil || len(free) == 0 {
		return false
	}
	lease, err := p.store.Grant(ctx, permitTTL)
	if err != nil {
		return false
	}
	place := free[rand.IntN(len(free))]
	if _, err = p.store.Put(ctx, place, []byte(p.holder), 0, lease); err != nil {
		// Also when the answer was lost: the place goes with the lease.
		_ = p.store.Revoke(ctx, lease)
		return false
	}
	sub, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	p.held[kind] = &permit{lease: lease, stop: cancel}
	p.mu.Unlock()
	go p.renew(sub, lease, lost)
	return true
}

// free lists the places that nobody holds.
func (p *permits) free(ctx context.Context, prefix string, places int) ([]string, error) {
	taken, _, err := p.store.List(ctx, prefix+"/")
	if err != nil {
		return nil, err
	}
	held := map[string]bool{}
	for _, e := range taken {
		held[e.Key] = true
	}
	var out []string
	for i := range places {
		if key := prefix + "/" + strconv.Itoa(i); !held[key] {
			out = append(out, key)
		}
	}
	return out, nil
}

// renew keeps the lease until ctx ends. A lease that could not be renewed for
// its whole length counts as lost, whatever the platform would say.
func (p *permits) renew(ctx context.Context, lease string, lost func()) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(permitTTL / 3):
		}
		began := time.Now()
		err := p.store.Renew(ctx, lease)
		if err == nil {
			last = began
			continue
		}
		if ctx.Err() == nil && (errors.Is(err, platform.ErrNotFound) || time.Since(last) > permitTTL) {
			lost()
			return
		}
	}
}

// take returns the held permit, which is then no longer held, or nil.
func (p *permits) take(kind orders.Permit) *permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.held[kind]
	delete(p.held, kind)
	return held
}

// release gives the place back.
func (p *permits) release(ctx context.Context, held *permit) {
	if held == nil {
		return
	}
	held.stop()
	_ = p.store.Revoke(ctx, held.lease)
}

// permitPlaces returns where a permit is taken and how many places there are.
func (s *Sidecar) permitPlaces(p orders.Permit) (prefix string, places int) {
	if p == orders.PermitLoad {
		return permitPrefix + "/load", s.set.Orders.ConcurrentLoads
	}
	wave := 1
	if d := s.doc.Load(); d != nil {
		wave = max(wave, d.Services[s.set.Service].Wave)
	}
	return path.Join(permitPrefix, "wave", s.set.Service), wave
}

// holderName tells an operator who looks at the platform who holds a place.
func (s *Sidecar) holderName() string { return fmt.Sprintf("%s %s", s.set.ID, s.incarnation()) }
