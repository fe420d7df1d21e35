package router

import (
	"context"
	"time"

	corespread "goldcrestport/coordination/spread"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// Heartbeats of routers: one per second for small pools, less often the more
// links there are, so that their bytes per second stay bounded.
const (
	minBeatEvery  = time.Second
	beatEveryLink = 20 * time.Millisecond
)

// newSpreader returns the duty that keeps the configuration and the instance
// list of this router.
func (r *Router) newSpreader() *spread.Spreader {
	cfg := corespread.DefaultConfig()
	cfg.Self, cfg.DataCentre, cfg.Watches = r.set.ID, r.set.DataCentre, true
	cfg.Seed = uint64(time.Now().UnixNano())
	s := spread.New(spread.Options{
		Self:           cfg,
		Seeds:          spread.Routers(r.set.Seeds),
		InstancesEvery: r.set.Platform.InstancesEvery.D(),
		Store:          r.store,
		Directory:      r.directory,
		Asker:          spread.PoolAsker{Pool: r.pool},
		Log:            r.log,
	})
	s.OnDocument(r.adopt)
	s.OnAnnounce(func(uint64) { r.beat() })
	return s
}

// beat tells every linked sidecar the revision that is in force here.
func (r *Router) beat() {
	b := &wire.RouterBeat{Revision: r.spread.Revision(), ConfigAgeMs: r.spread.Age().Milliseconds()}
	r.dispatcher.post(r.ctx, message{beat: b})
}

// keepBeating sends heartbeats until ctx ends.
func (r *Router) keepBeating(ctx context.Context) {
	for ctx.Err() == nil {
		links := time.Duration(r.linkCount.Load())
		select {
		case <-ctx.Done():
		case <-time.After(max(minBeatEvery, links*beatEveryLink)):
			r.beat()
		}
	}
}

// heard takes a sidecar's word on its revision.
func (r *Router) heard(l *sidecarLink, load *wire.Load) {
	age := wire.Millis(load.ConfigAgeMs)
	r.spread.Heard(spread.Peer{Role: platform.RoleSidecar, Address: l.addr}, load.Revision, age)
}

// Config implements wire.DRPCRouterServer.
func (r *Router) Config(_ context.Context, req *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	return r.spread.Answer(req)
}
