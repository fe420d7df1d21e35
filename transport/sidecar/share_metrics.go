package sidecar

import (
	"sync/atomic"

	"goldcrestport/coordination/share"
	"goldcrestport/transport/observe"
)

// shareMetrics publishes the state of the fair-share core under /debug/vars.
// The scheduler updates it; readers see the latest snapshot.
type shareMetrics struct {
	costs atomic.Pointer[map[string]float64]
	stats atomic.Pointer[share.Stats]
}

func newShareMetrics(v *observe.Vars) *shareMetrics {
	m := &shareMetrics{}
	m.costs.Store(&map[string]float64{})
	m.stats.Store(&share.Stats{})
	v.Func("sidecar_team_cost", func() any { return *m.costs.Load() })
	for name, read := range map[string]func(*share.Stats) int64{
		"sidecar_choice_starts":         func(s *share.Stats) int64 { return s.Starts },
		"sidecar_pulls":                 func(s *share.Stats) int64 { return s.Pulls },
		"sidecar_empties":               func(s *share.Stats) int64 { return s.Empties },
		"sidecar_declines":              func(s *share.Stats) int64 { return s.Declines },
		"sidecar_busy_slot_ms":          func(s *share.Stats) int64 { return s.BusySlots.Milliseconds() },
		"sidecar_idle_while_waiting_ms": func(s *share.Stats) int64 { return s.IdleWhileWaiting.Milliseconds() },
	} {
		v.Func(name, func() any { return read(m.stats.Load()) })
	}
	return m
}

func (m *shareMetrics) set(core *share.State) {
	costs := map[string]float64{}
	core.TeamCosts(func(team string, cost float64) { costs[team] = cost })
	stats := core.Stats()
	m.costs.Store(&costs)
	m.stats.Store(&stats)
}
