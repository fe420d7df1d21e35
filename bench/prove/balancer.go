package prove

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times of the balancer's checks.
const (
	checkEvery = 100 * time.Millisecond
	checkBound = 300 * time.Millisecond
)

// balancer chooses routers as the platform's balancer does: among those whose
// readiness check passed last.
type balancer struct {
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	routers []*router
	ready   map[string]bool
}

func newBalancer(routers []*router) *balancer {
	b := &balancer{stop: make(chan struct{}), routers: routers, ready: map[string]bool{}}
	for _, r := range routers {
		b.done.Add(1)
		go b.watch(r)
	}
	return b
}

func (b *balancer) close() {
	close(b.stop)
	b.done.Wait()
}

func (b *balancer) watch(r *router) {
	defer b.done.Done()
	client := &http.Client{Timeout: checkBound}
	for {
		resp, err := client.Get("http://" + r.Ops + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
		}
		b.set(r.Name, err == nil && resp.StatusCode == http.StatusOK)
		select {
		case <-b.stop:
			return
		case <-time.After(checkEvery):
		}
	}
}

func (b *balancer) set(name string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[name] = ready
}

// choose returns a router that is ready, if there is one, and another than
// avoid, if there is one.
func (b *balancer) choose(random *rand.Rand, avoid string) *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, best []*router
	for _, r := range b.routers {
		if !b.ready[r.Name] {
			continue
		}
		ready = append(ready, r)
		if r.Name != avoid {
			best = append(best, r)
		}
	}
	for _, set := range [][]*router{best, ready, b.routers} {
		if len(set) > 0 {
			return set[random.IntN(len(set))]
		}
	}
	return nil
}
