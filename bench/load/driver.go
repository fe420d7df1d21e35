package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the load.
const (
	// lightOutstanding bounds what an open loop has outstanding.
	lightOutstanding = 32
	idleConns        = 1024
	// startSpread spreads the first requests of the closed loops.
	startSpread = 500 * time.Millisecond
	pauseCheck  = 20 * time.Millisecond
	// floodDelay lets the other teams be served first: at an idle fleet the
	// flood would take most slots before anyone waits, and pay for it later.
	floodDelay = 2 * time.Second
)

// Config of a driver.
type Config struct {
	Teams []Team
	// Routers are the callers' addresses of the routers.
	Routers []string
	Seed    uint64
	// Scale multiplies the request rate at the same demand in tokens.
	Scale float64
}

// Driver runs the callers of all teams.
type Driver struct {
	cfg    Config
	http   *http.Client
	record *Recorder
	paused atomic.Bool
	shed   atomic.Int64
}

// NewDriver returns a driver that records to record.
func NewDriver(cfg Config, record *Recorder) *Driver {
	tr := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &Driver{cfg: cfg, record: record, http: &http.Client{Transport: tr}}
}

// Run runs the callers until ctx ends and all have left.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range d.cfg.Teams {
		if t.Saturating() {
			for n, router := range placement(t.Callers, t.Routers) {
				wg.Go(func() { d.closedLoop(ctx, t, n, router) })
			}
			continue
		}
		wg.Go(func() { d.openLoop(ctx, t) })
	}
	wg.Wait()
	d.http.CloseIdleConnections()
}

// Pause lets the callers send nothing new; what is outstanding goes on.
func (d *Driver) Pause() { d.paused.Store(true) }

// Shed returns the requests that an open loop did not send because too many
// were outstanding.
func (d *Driver) Shed() int64 { return d.shed.Load() }

// closedLoop is one caller that sends the next request when the last ended.
func (d *Driver) closedLoop(ctx context.Context, t Team, caller, router int) {
	w := newWriter(t, caller, d.cfg.Seed, d.cfg.Scale)
	delay := time.Duration(w.rng.Float64() * float64(startSpread))
	if t.Kind == Flooding {
		delay += floodDelay
	}
	if !sleep(ctx, delay) {
		return
	}
	for d.ready(ctx) {
		body, err := w.next(router)
		if err != nil || !d.insist(ctx, t, router, body) {
			return
		}
	}
}

// insist sends a request until it was answered; it returns false when ctx
// ended. After a lost connection it turns to the next router.
func (d *Driver) insist(ctx context.Context, t Team, router int, body []byte) bool {
	for d.ready(ctx) {
		r, after := d.call(ctx, t, d.cfg.Routers[router], body)
		if r.Ending == Completed {
			return true
		}
		if r.Ending == Broken {
			router = (router + 1) % len(d.cfg.Routers)
		}
		if !sleep(ctx, after) {
			return false
		}
	}
	return false
}

// openLoop sends requests at random times that the seed decides.
func (d *Driver) openLoop(ctx context.Context, t Team) {
	var wg sync.WaitGroup
	defer wg.Wait()
	w := newWriter(t, 0, d.cfg.Seed, d.cfg.Scale)
	at := time.Now()
	for {
		at = at.Add(time.Duration(w.rng.ExpFloat64() / t.Rate * float64(time.Second)))
		router := pick(w.rng, t.Routers)
		body, err := w.next(router)
		if err != nil || !sleep(ctx, time.Until(at)) || !d.ready(ctx) {
			return
		}
		if d.record.Outstanding(t.Name) >= lightOutstanding {
			d.shed.Add(1)
			continue
		}
		wg.Go(func() { d.insist(ctx, t, router, body) })
	}
}

// pick draws an index by weight.
func pick(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	draw := rng.Float64() * total
	for i, w := range weights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// ready waits while the load is paused; it returns false when ctx ended.
func (d *Driver) ready(ctx context.Context) bool {
	for d.paused.Load() {
		if !sleep(ctx, pauseCheck) {
			return false
		}
	}
	return ctx.Err() == nil
}

// sleep waits; it returns false when ctx ended first.
func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
