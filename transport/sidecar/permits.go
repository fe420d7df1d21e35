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

// permitTTL is the lease time of a permit: how long a permit that is not
// released stays taken.
const permitTTL = 30 * time.Second

// permitPrefix is the key prefix of all permits on the platform.
const permitPrefix = "goldcrest/permits"

// permits is a distributed counting semaphore on the platform: each place is a
// key under a lease. It bounds how many sidecars of the whole fleet do
// something concurrently.
type permits struct {
	store  platform.Store
	holder string

	mu   sync.Mutex
	held map[orders.Permit]*permit
}

// permit is one place that this sidecar holds.
type permit struct {
	lease string
	// stop ends the renewal of the lease.
	stop context.CancelFunc
}

// acquire takes one of the places below the prefix. It returns false if all
// are taken or the platform does not respond. lost is called if the lease
// expires later.
func (p *permits) acquire(ctx context.Context, kind orders.Permit, prefix string, places int, lost func()) bool {
	free, err := p.freePlaces(ctx, prefix, places)
	if err != nil || len(free) == 0 {
		return false
	}
	lease, err := p.store.Grant(ctx, permitTTL)
	if err != nil {
		return false
	}
	place := free[rand.IntN(len(free))]
	if _, err = p.store.Put(ctx, place, []byte(p.holder), 0, lease); err != nil {
		// Also if the response was lost: revoking the lease frees the place.
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

// freePlaces lists the places that are not taken.
func (p *permits) freePlaces(ctx context.Context, prefix string, places int) ([]string, error) {
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

// renew renews the lease until ctx ends. A lease that could not be renewed for
// more than its TTL counts as lost, whatever its state on the platform.
func (p *permits) renew(ctx context.Context, lease string, lost func()) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(permitTTL / 3):
		}
		start := time.Now()
		err := p.store.Renew(ctx, lease)
		if err == nil {
			last = start
			continue
		}
		if ctx.Err() == nil && (errors.Is(err, platform.ErrNotFound) || time.Since(last) > permitTTL) {
			lost()
			return
		}
	}
}

// remove removes and returns the held permit, or nil if there is none.
func (p *permits) remove(kind orders.Permit) *permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.held[kind]
	delete(p.held, kind)
	return held
}

// release frees the place.
func (p *permits) release(ctx context.Context, held *permit) {
	if held == nil {
		return
	}
	held.stop()
	_ = p.store.Revoke(ctx, held.lease)
}

// permitPlaces returns the key prefix of a permit's places and their number.
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

// holderName returns the value stored under a place, by which an operator
// identifies its holder.
func (s *Sidecar) holderName() string { return fmt.Sprintf("%s %s", s.set.ID, s.incarnation()) }
