package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"goldcrestport/coordination/dispatch"
)

// Load of one router at the size that the design plans for two years ahead.
const (
	designServices     = 19
	designSidecars     = 116 // per service
	designTeams        = 2100
	teamsPerBacklogged = 10 // one in this many teams has queued work
)

// design returns a State at the design size. Every tenth team is backlogged at
// this router, which is the worst distribution of teams over routers.
func design() *fixture {
	f := newFixture(nil)
	for s := range designServices {
		for i := range designSidecars {
			id := fmt.Sprintf("sidecar-%d-%d", s, i)
			f.step(dispatch.SidecarUp{Sidecar: id, Service: fmt.Sprint(s)})
			f.step(dispatch.LoadReported{Sidecar: id, Slots: 64})
		}
	}
	for i := range designTeams / teamsPerBacklogged {
		for n := range 4 {
			r := request(fmt.Sprint("team-", i), fmt.Sprint(i, "-", n))
			r.Service = fmt.Sprint(i % designServices)
			f.step(dispatch.Arrived{Request: r})
		}
	}
	f.after(5 * time.Second)
	return f
}

// BenchmarkSecond simulates one second of a router at the design size: ticks,
// load reports of all sidecars, and arriving requests that are pulled.
func BenchmarkSecond(b *testing.B) {
	empty := heap()
	f := design()
	allocated := heap() - empty
	before, next := f.Stats().Registrations, 0
	b.ResetTimer()
	for range b.N {
		for tick := range 50 {
			f.after(20 * time.Millisecond)
			for i := tick; i < designServices*designSidecars; i += 50 {
				id := fmt.Sprintf("sidecar-%d-%d", i%designServices, i/designServices)
				f.Step(f.now, dispatch.LoadReported{Sidecar: id, Slots: 64})
			}
			if tick%2 == 0 {
				next++
				f.serveOne(next)
			}
		}
	}
	b.ReportMetric(float64(allocated)/(1<<20), "MiB")
	b.ReportMetric(float64(f.Stats().Registrations-before)/float64(b.N), "interests/s")
}

// heap returns the size of the allocated heap in bytes after a collection.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// serveOne adds a request, and serves one request of the same team.
func (f *fixture) serveOne(n int) {
	team := n % (designTeams / teamsPerBacklogged)
	r := request(fmt.Sprint("team-", team), fmt.Sprint("new-", n))
	r.Service = fmt.Sprint(team % designServices)
	f.step(dispatch.Arrived{Request: r})
	id := fmt.Sprintf("sidecar-%s-%d", r.Service, n%designSidecars)
	for _, s := range only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: id, Pull: 1, Team: r.Team})) {
		f.step(dispatch.Succeeded{ID: s.ID, Sidecar: id})
		f.step(dispatch.Ended{ID: s.ID, Cost: 1})
	}
}
