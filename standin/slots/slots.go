// Package slots limits the number of concurrent runs, with a first-in, first-out queue.
package slots

import (
	"context"
	"net/http"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
	"goldcrestport/standin/lag"
)

// Pool is a fixed number of slots and a queue of waiters.
type Pool struct {
	mu          sync.Mutex
	slots       int
	running     int
	waiting     []chan struct{}
	cacheBlocks int
	load        *lag.Value[Load]
}

// Load is a pool's load report.
type Load struct {
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Slots       int   `json:"slots"`
	CacheBlocks int   `json:"cache_blocks"`
	AsOfMS      int64 `json:"as_of_ms"`
}

// New returns a pool of n slots (at least one) whose load report lags by loadLag.
func New(n int, loadLag time.Duration) *Pool {
	n = max(n, 1)
	return &Pool{slots: n, load: lag.NewValue(loadLag, Load{Slots: n})}
}

// Acquire waits in the queue for a slot. It fails only if ctx is done first, in which case no slot is taken.
func (p *Pool) Acquire(ctx context.Context) error {
	p.mu.Lock()
	if p.running < p.slots {
		p.running++
		p.publishLoad()
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.waiting = append(p.waiting, granted)
	p.publishLoad()
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		p.abandon(granted)
		return ctx.Err()
	}
}

// abandon removes a waiter from the queue, or releases the slot if it was assigned one in the meantime.
func (p *Pool) abandon(granted chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiting {
		if other == granted {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.publishLoad()
			return
		}
	}
	p.release()
}

// Release frees a slot, which goes to the first waiter if there is one.
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
	p.publishLoad()
}

// Running returns the number of slots in use.
func (p *Pool) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// SetBlocks sets the cache size in the load report.
func (p *Pool) SetBlocks(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cacheBlocks = n
	p.publishLoad()
}

func (p *Pool) publishLoad() {
	p.load.Set(Load{Running: p.running, Waiting: len(p.waiting), Slots: p.slots, CacheBlocks: p.cacheBlocks})
}

// ServeHTTP responds with the lagging load report.
func (p *Pool) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	load, asOf := p.load.Get()
	load.AsOfMS = asOf.UnixMilli()
	reply.JSON(w, http.StatusOK, load)
}
