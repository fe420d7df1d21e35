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

// startJitter is the longest wait of a starting sidecar for the first word of
// a router, before it reads the platform itself.
const startJitter = 3 * time.Second

// newSpreader returns the duty that keeps the configuration and the instance
// list of this sidecar. Sidecars never wait at the platform.
func (s *Sidecar) newSpreader() *spread.Spreader {
	cfg := corespread.DefaultConfig()
	cfg.Self, cfg.DataCentre = s.set.ID, s.set.DataCentre
	cfg.Seed = uint64(time.Now().UnixNano())
	// Routers greet a sidecar soon; until then it need not ask the platform.
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
	sp.OnDocument(s.adopt)
	sp.OnAnnounce(func(uint64) { s.chooser.post(s.ctx, message{announce: true}) })
	return sp
}

// adopt puts a newer document in force.
func (s *Sidecar) adopt(doc *config.Document) {
	s.doc.Store(doc)
	shares := make(map[string]float64, len(doc.Teams))
	for name, t := range doc.Teams {
		shares[name] = t.Share
	}
	s.chooser.post(s.ctx, message{event: share.SharesSet{Shares: shares}})
	s.drain.set(s.ctx, drainByConfig, slices.Contains(doc.Drain, s.set.ID) || slices.Contains(doc.Evacuate, s.set.DataCentre))
	s.reconciler.wants(s.ctx, doc)
}

// heard takes a router's word on its revision.
func (s *Sidecar) heard(address string, revision uint64, ageMS int64) {
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
