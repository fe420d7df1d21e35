package router

import (
	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/settings"
)

// dispatchConfig returns the dispatch core's parameters from the settings. The
// seed is derived from the router's ID, so that routers choose different
// subsets of sidecars.
func dispatchConfig(set settings.Router) dispatch.Config {
	cfg := dispatch.DefaultConfig()
	cfg.Policy = dispatch.Policy(set.Policy)
	cfg.Queues.PerTeam = set.Queues.PerTeam
	cfg.Queues.PerTeamBytes = set.Queues.PerTeamBytes.Bytes()
	cfg.Queues.Total = set.Queues.Total
	cfg.Queues.TotalBytes = set.Queues.TotalBytes.Bytes()
	cfg.Reorder.Depth = set.Queues.ReorderDepth
	cfg.Seed = xxhash.Sum64String(set.ID)
	return cfg
}
