package sidecar

import (
	"context"
	"slices"
	"time"

	"goldcrestport/coordination/share"
	corespread "goldcrestport/coordination/spread"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/spread"
)

// startJitter is how long a starting sidecar waits at most for the first
// message of a router before it reads the platform itself.
const startJitter = 3 * time.Second

// newSpreader returns the event loop that keeps this sidecar's configuration
// and instance list up to date. Sidecars never long-poll the platform.
func (s *Sidecar) newSpreader() *spread.Spreader {
	cfg := corespread.DefaultConfig()
	cfg.Self, cfg.DataCentre = s.set.ID, s.set.DataCentre
	cfg.Seed = uint64(time.Now().UnixNano())
	// Routers connect to a new sidecar soon; until then it need not query the
	// platform.
	cfg.StartJitter = startJitter
	sp := spread.New(spread.Options{
		Self:           cfg,
		Seeds:          spread.Routers(s.set.Seeds),
		InstancesEvery: s.set.Platform.InstancesEvery.D(),
		Store:          s.store,
		Directory:      s.directory,
		Asker:          spread.PoolAsker{Pool: s.pool},
		Log:            s.log,
	})
	sp.OnDocument(s.applyDocument)
	sp.OnAnnounce(func(uint64) { s.scheduler.post(s.ctx, message{reportNow: true}) })
	return sp
}

// applyDocument puts a newer configuration document into effect.
func (s *Sidecar) applyDocument(doc *config.Document) {
	s.doc.Store(doc)
	shares := make(map[string]float64, len(doc.Teams))
	for name, t := range doc.Teams {
		shares[name] = t.Share
	}
	s.scheduler.post(s.ctx, message{event: share.SharesSet{Shares: shares}})
	s.drain.set(s.ctx, drainByConfig, slices.Contains(doc.Drain, s.set.ID) || slices.Contains(doc.Evacuate, s.set.DataCentre))
	s.reconciler.setWanted(s.ctx, doc)
}

// receiveRevision processes a router's report of its configuration revision
// and of that revision's staleness.
func (s *Sidecar) receiveRevision(address string, revision uint64, ageMS int64) {
	if address == "" {
		return
	}
	age := wire.Millis(ageMS)
	s.spread.Heard(spread.Peer{Role: platform.RoleRouter, Address: address}, revision, age)
}

// Config implements wire.DRPCSidecarServer.
func (s *Sidecar) Config(_ context.Context, req *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	return s.spread.Answer(req)
}
