package router

import (
	"expvar"
	"sync/atomic"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/transport/observe"
)

// dispatchVars publishes the metrics of the dispatch core under /debug/vars.
// The dispatcher sets them; readers see the last snapshot.
type dispatchVars struct {
	waiting    atomic.Pointer[map[string]map[string]int]
	stats      atomic.Pointer[dispatch.Stats]
	controlIn  *expvar.Int
	controlOut *expvar.Int
}

func newDispatchVars(all *observe.Vars) *dispatchVars {
	v := &dispatchVars{
		controlIn:  all.Int("router_control_bytes_in"),
		controlOut: all.Int("router_control_bytes_out"),
	}
	v.set(map[string]map[string]int{}, dispatch.Stats{})
	all.Func("router_waiting", func() any { return *v.waiting.Load() })
	all.Func("router_refused", v.refused)
	all.Func("router_dispatch", v.counts)
	return v
}

func (v *dispatchVars) set(waiting map[string]map[string]int, stats dispatch.Stats) {
	v.waiting.Store(&waiting)
	v.stats.Store(&stats)
}

// refused returns the refusals by reason.
func (v *dispatchVars) refused() any {
	out := map[string]uint64{}
	for reason, n := range v.stats.Load().Refused {
		out[reason.String()] = n
	}
	return out
}

// counts returns the other counters of the core.
func (v *dispatchVars) counts() any {
	s := v.stats.Load()
	return map[string]uint64{
		"offers":    s.Offers,
		"declines":  s.Declines,
		"pulls":     s.Pulls,
		"empties":   s.Empties,
		"interests": s.Registrations,
		"reordered": s.Reordered,
		"retries":   s.Retries,
		"ejections": s.Ejections,
		"ejected":   uint64(s.Ejected),
	}
}
