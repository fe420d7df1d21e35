package router

import (
	"context"
	"time"

	corespread "goldcrestport/coordination/spread"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// Heartbeat interval of routers: one second for small pools, longer with more
// links, so that the heartbeats' bytes per second stay bounded.
const (
	minHeartbeatInterval     = time.Second
	heartbeatIntervalPerLink = 20 * time.Millisecond
)

// newSpreader returns the spreader that keeps this router's configuration and
// instance list up to date.
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
	s.OnAnnounce(func(uint64) { r.sendHeartbeat() })
	return s
}

// sendHeartbeat sends every linked sidecar the revision in force in this router.
func (r *Router) sendHeartbeat() {
	b := &wire.RouterBeat{Revision: r.spread.Revision(), ConfigAgeMs: r.spread.Age().Milliseconds()}
	r.dispatcher.post(r.ctx, message{heartbeat: b})
}

// sendHeartbeats sends heartbeats until ctx ends.
func (r *Router) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		links := time.Duration(r.linkCount.Load())
		select {
		case <-ctx.Done():
		case <-time.After(max(minHeartbeatInterval, links*heartbeatIntervalPerLink)):
			r.sendHeartbeat()
		}
	}
}

// revisionReported passes the revision that a sidecar reported to the spreader.
func (r *Router) revisionReported(l *sidecarLink, load *wire.Load) {
	age := wire.Millis(load.ConfigAgeMs)
	r.spread.Heard(spread.Peer{Role: platform.RoleSidecar, Address: l.addr}, load.Revision, age)
}

// Config implements wire.DRPCRouterServer.
func (r *Router) Config(_ context.Context, req *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	return r.spread.Answer(req)
}
