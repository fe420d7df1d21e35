package router

import (
	"expvar"
	"sync/atomic"

	"goldcrestport/coordination/dispatch"
)

// dispatchVars are the metrics of the dispatch core under /debug/vars. The
// dispatcher sets them; readers see the last snapshot.
type dispatchVars struct {
	waiting    atomic.Pointer[map[string]map[string]int]
	stats      atomic.Pointer[dispatch.Stats]
	controlIn  *expvar.Int
	controlOut *expvar.Int
}

// dispatchPublished holds the metrics of this process; expvar names are
// process-wide.
var dispatchPublished = publishDispatchVars()

func publishDispatchVars() *dispatchVars {
	v := &dispatchVars{
		controlIn:  expvar.NewInt("router_control_bytes_in"),
		controlOut: expvar.NewInt("router_control_bytes_out"),
	}
	v.set(map[string]map[string]int{}, dispatch.Stats{})
	expvar.Publish("router_waiting", expvar.Func(func() any { return *v.waiting.Load() }))
	expvar.Publish("router_refused", expvar.Func(v.refused))
	expvar.Publish("router_dispatch", expvar.Func(v.counts))
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
		"interests": s.Interests,
		"reordered": s.Reordered,
		"retries":   s.Retries,
		"ejections": s.Ejections,
		"ejected":   uint64(s.Ejected),
	}
}
