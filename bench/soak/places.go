package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"goldcrestport/standin/backend"
)

// zones are the data centres of the servers.
var zones = []string{"hall-pamp", "hall-east"}

// zoneOf is the data centre of a server's id, also when it starts again.
func zoneOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return zones[h.Sum32()%uint32(len(zones))]
}

// beat is the time between two entries of a server that is cold.
const beat = 600 * time.Millisecond

// turnCold makes the server cold from now on; its entry says so after the lag.
func (w *World) turnCold(s *server, lag time.Duration) {
	now := time.Now()
	w.mu.Lock()
	s.coldUntil = now.Add(coldTime)
	w.mu.Unlock()
	w.Record.add(func() {
		w.Record.Colds = append(w.Record.Colds, Cold{s.ID, s.born.UnixMilli(), now, now.Add(coldTime)})
	})
	time.AfterFunc(lag, func() { w.beat(s, s.coldUntil) })
}

// beat writes the server's entry again and again until it was written after the
// server had become warm.
func (w *World) beat(s *server, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || s.leaving || w.servers[s.ID] != s {
		return
	}
	w.enter(s, backend.Ready)
	if time.Now().Before(until) {
		time.AfterFunc(min(beat, time.Until(until)+time.Millisecond), func() { w.beat(s, until) })
	}
}

// evacuations evacuates data centres until the plan's failures end.
func (i *injector) evacuations(plan Plan) {
	random := rand.New(rand.NewPCG(plan.Seed, 7))
	end := time.Now().Add(plan.Failures)
	i.open.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second)))
			i.w.evacuate(random)
		}
	})
}

// evacuate asks that a data centre's servers get nothing, and takes that back; its
// engines are cold then. What stands under the key does not matter.
func (w *World) evacuate(random *rand.Rand) {
	zone := zones[random.IntN(len(zones))]
	values := []string{"{}", "", "\xff\x00"}
	w.store.Put("op/evacuate/"+zone, []byte(values[random.IntN(len(values))]))
	made := Evacuation{DataCentre: zone, Acked: time.Now()}
	time.Sleep(evacuation + time.Duration(random.Int64N(int64(2*time.Second))))
	made.Until = time.Now()
	for _, s := range w.engines(zone) {
		w.turnCold(s, beat)
	}
	w.store.Remove("op/evacuate/" + zone)
	w.Record.add(func() { w.Record.Evacuations = append(w.Record.Evacuations, made) })
}

// engines are those of the data centre that stay.
func (w *World) engines(zone string) []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*server
	for _, s := range w.servers {
		if s.zone == zone && s.Service == engineService && !s.leaving {
			all = append(all, s)
		}
	}
	return all
}

// ranWhereEvacuated finds runs at servers of evacuated data centres.
func ranWhereEvacuated(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		for _, run := range r.Runs[c.ID] {
			for _, e := range r.Evacuations {
				late := run.Began.After(e.Acked.Add(evacuation)) && run.Began.Before(e.Until)
				if late && zoneOf(run.Server) == e.DataCentre && r.undisturbed(c.Router, e.Acked, run.Began) {
					out = append(out, fmt.Sprintf("%s ran at %s in %s %v after its evacuation", c.ID, run.Server, e.DataCentre, run.Began.Sub(e.Acked)))
				}
			}
		}
	}
	return out
}

// passage is a request's way to a server: when its caller sent it, and when it began
// to run there.
type passage struct{ sent, began time.Time }

// tooManyForCold counts, in sliding seconds, the requests that were sent and began at
// a process of a cold server within the second, by whatever routers. One that starts
// again under the id knows nothing of what the earlier one bore.
func tooManyForCold(r *Record) []string {
	passages := map[process][]passage{}
	for _, c := range r.Calls {
		for _, run := range r.Runs[c.ID] {
			at := process{run.Server, run.Born}
			passages[at] = append(passages[at], passage{c.Sent, run.Began})
		}
	}
	var out []string
	for _, cold := range r.Colds {
		if most := mostInASecond(passages[process{cold.Server, cold.Born}], cold); float64(most) > coldRate*coldOverrun+coldSlack {
			out = append(out, fmt.Sprintf("%s, cold since %v, got %d in a second", cold.Server, cold.From, most))
		}
	}
	return out
}

// mostInASecond is the greatest number of passages within a second of the span.
func mostInASecond(all []passage, span Cold) (most int) {
	for _, first := range all {
		n := 0
		for _, p := range all {
			inSpan := !p.sent.Before(span.From) && p.began.Before(span.Until)
			if inSpan && !p.sent.Before(first.sent) && p.began.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
