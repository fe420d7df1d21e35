// Package slots admits a bounded number of runs at once, first come first served.
package slots

import (
	"context"
	"net/http"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
	"goldcrestport/standin/lag"
)

// Pool is a set of slots with a queue before it.
type Pool struct {
	mu      sync.Mutex
	slots   int
	running int
	waiting []chan struct{}
	blocks  int
	load    *lag.Value[Load]
}

// Load is the report of a pool's use.
type Load struct {
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Slots       int   `json:"slots"`
	CacheBlocks int   `json:"cache_blocks"`
	AsOfMS      int64 `json:"as_of_ms"`
}

// New returns a pool of n slots (at least one) whose report of load lags.
func New(n int, loadLag time.Duration) *Pool {
	n = max(n, 1)
	return &Pool{slots: n, load: lag.NewValue(loadLag, Load{Slots: n})}
}

// Acquire waits in turn for a slot. It fails only when ctx ends first; then no slot is held.
func (p *Pool) Acquire(ctx context.Context) error {
	p.mu.Lock()
	if p.running < p.slots {
		p.running++
		p.report()
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiting = append(p.waiting, turn)
	p.report()
	p.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		p.leave(turn)
		return ctx.Err()
	}
}

// leave takes a waiter out of the queue, or gives back the slot it was handed meanwhile.
func (p *Pool) leave(turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiting {
		if other == turn {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.report()
			return
		}
	}
	p.release()
}

// Release gives a slot back, to the first waiter if there is one.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release()
}

func (p *Pool) release() {
	if len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = p.waiting[1:]
	} else {
		p.running--
	}
	p.report()
}

// Running returns how many slots are held now.
func (p *Pool) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// SetBlocks records the size of the cache that the report of load shows.
func (p *Pool) SetBlocks(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks = n
	p.report()
}

func (p *Pool) report() {
	p.load.Set(Load{Running: p.running, Waiting: len(p.waiting), Slots: p.slots, CacheBlocks: p.blocks})
}

// ServeHTTP answers with the lagging report of load.
func (p *Pool) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	load, asOf := p.load.Get()
	load.AsOfMS = asOf.UnixMilli()
	reply.JSON(w, http.StatusOK, load)
}
