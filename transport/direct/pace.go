package direct

import (
	"maps"
	"math"
	"slices"
	"time"

	"goldcrestport/coordination/pace"
	"goldcrestport/protocol/pacereport"
)

// sendPace sends what this router learnt of the servers' pace to other routers.
func (t *gossiper) sendPace(now time.Time) {
	r := t.r
	if t.pace.Due(now) {
		r.mu.Lock()
		report := r.admission.TakePaceReport(now)
		t.updateDestinations()
		r.mu.Unlock()
		t.pace.Start(now, report, slices.Collect(maps.Keys(t.destinations)))
	}
	report, pending := t.pace.Pending(now)
	if !pending {
		return
	}
	t.buf = pacereport.Append(t.buf[:0], report)
	for _, id := range t.pace.Next(now, len(t.buf)) {
		to, known := t.destinations[id]
		if !known {
			continue
		}
		if _, err := t.conn.WriteToUDPAddrPort(t.buf, to); err != nil {
			r.metrics.peerErrors.Add(1)
		}
	}
}

// receivePace processes another router's report on the servers' pace.
func (r *Router) receivePace(datagram []byte) error {
	report, err := pacereport.Read(datagram)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.ReceivePaceReport(time.Now(), report)
	return nil
}

// paceLogInterval is the interval between the log lines on the pace of services.
const paceLogInterval = 10 * time.Second

// logPace logs what is known of the pace of services.
func (r *Router) logPace(now time.Time) {
	r.mu.Lock()
	all := r.admission.PaceSummaries(now)
	r.mu.Unlock()
	for _, one := range all {
		r.event("pace", "service", one.Service, "rate", int(one.Rate), "slowest", int(one.Slowest), "fastest", int(one.Fastest), "servers", one.Servers, "learnt", one.Learnt,
			"overhead", one.Overhead, "slowdown", math.Round(one.Slowdown*100)/100, "runs", one.Runs, "error", one.Error, "late", one.Late)
	}
}

// paceByService returns a figure of each service for which the estimated pace is used.
func (r *Router) paceByService(figure func(pace.Summary) float64) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]float64)
	for _, one := range r.admission.PaceSummaries(time.Now()) {
		out[one.Service] = figure(one)
	}
	return out
}
