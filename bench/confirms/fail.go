package confirms

import (
	"context"
	"math/rand/v2"
	"time"
)

// Times of the failures.
const (
	betweenOutages = 1500 * time.Millisecond
	outage         = 250 * time.Millisecond
	betweenKills   = 700 * time.Millisecond
	platformDelay  = 2
)

// platformFaults is the stand-in's set of faults.
type platformFaults struct {
	Down        bool    `json:"down"`
	LatencyMS   int64   `json:"latency_ms"`
	LoseAnswers float64 `json:"lose_answers"`
	Seed        uint64  `json:"seed"`
}

func (r *run) setFaults(f platformFaults) error {
	return r.fleet.Put(r.platform.Addr, "/admin/faults", f)
}

// losePlatform loses answers all the time and takes the platform away now and
// then, until ctx ends; then the platform is whole again.
func (r *run) losePlatform(ctx context.Context) {
	defer func() { _ = r.setFaults(platformFaults{}) }()
	lossy := platformFaults{LatencyMS: platformDelay, LoseAnswers: r.opts.LoseAnswers, Seed: r.opts.Seed}
	for {
		_ = r.setFaults(lossy)
		lossy.Seed++
		if !pause(ctx, betweenOutages) {
			return
		}
		_ = r.setFaults(platformFaults{Down: true})
		r.report.Outages++
		if !pause(ctx, outage) {
			return
		}
	}
}

// killRouters kills one router after the other and starts it again with no
// memory, until ctx ends.
func (r *run) killRouters(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 99))
	for pause(ctx, betweenKills) {
		if r.routers[rng.IntN(len(r.routers))].Restart() == nil {
			r.report.Kills++
		}
	}
}

// pause waits and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
