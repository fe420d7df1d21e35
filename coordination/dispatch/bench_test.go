package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"goldcrestport/coordination/dispatch"
)

// Sizes of one router in the design for two years.
const (
	designServices = 19
	designSidecars = 116 // of each service
	designTeams    = 2100
	backloggedPart = 10 // one team of so many has work waiting
)

// design returns a core at the design size, with every tenth team backlogged
// at this router, which is the worst spread of teams over routers.
func design() *fixture {
	f := newFixture(nil)
	for s := range designServices {
		for i := range designSidecars {
			id := fmt.Sprintf("sidecar-%d-%d", s, i)
			f.step(dispatch.SidecarUp{Sidecar: id, Service: fmt.Sprint(s)})
			f.step(dispatch.LoadReported{Sidecar: id, Slots: 64})
		}
	}
	for i := range designTeams / backloggedPart {
		for n := range 4 {
			r := request(fmt.Sprint("team-", i), fmt.Sprint(i, "-", n))
			r.Service = fmt.Sprint(i % designServices)
			f.step(dispatch.Arrived{Request: r})
		}
	}
	f.after(5 * time.Second)
	return f
}

// BenchmarkSecond runs one second of a router at the design size: ticks, the
// load reports of all sidecars, and arrivals that are pulled.
func BenchmarkSecond(b *testing.B) {
	empty := heap()
	f := design()
	held := heap() - empty
	before, next := f.Stats().Interests, 0
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
	b.ReportMetric(float64(held)/(1<<20), "MiB")
	b.ReportMetric(float64(f.Stats().Interests-before)/float64(b.N), "interests/s")
}

// heap returns the bytes in use.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// serveOne lets a request arrive and another one be pulled and end.
func (f *fixture) serveOne(n int) {
	team := n % (designTeams / backloggedPart)
	r := request(fmt.Sprint("team-", team), fmt.Sprint("new-", n))
	r.Service = fmt.Sprint(team % designServices)
	f.step(dispatch.Arrived{Request: r})
	id := fmt.Sprintf("sidecar-%s-%d", r.Service, n%designSidecars)
	for _, s := range only[dispatch.Send](f.step(dispatch.Pulled{Sidecar: id, Pull: 1, Team: r.Team})) {
		f.step(dispatch.Succeeded{ID: s.ID, Sidecar: id})
		f.step(dispatch.Ended{ID: s.ID, Cost: 1})
	}
}
