package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/coordination/plan"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/wire"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// operatorView implements operators.Router for a Router.
type operatorView struct{ r *Router }

// InForce implements operators.Router.
func (v operatorView) InForce() *config.Document { return v.r.doc.Load() }

// adoptTimeout bounds the wait until a document is in force in this router.
const adoptTimeout = time.Second

// Adopt implements operators.Router.
func (v operatorView) Adopt(d *config.Document) {
	ctx, cancel := context.WithTimeout(v.r.ctx, adoptTimeout)
	defer cancel()
	v.r.spread.Accept(ctx, d)
}

// snapshotTimeout bounds the wait for the dispatcher, which may be busy or
// stopped.
const snapshotTimeout = time.Second

// snapshot requests the dispatcher's state; it returns an empty one if the
// dispatcher does not answer in time.
func (r *Router) snapshot() dispatch.Snapshot {
	ctx, cancel := context.WithTimeout(r.ctx, snapshotTimeout)
	defer cancel()
	answer := make(chan dispatch.Snapshot, 1)
	r.dispatcher.post(ctx, message{snapshot: answer})
	select {
	case s := <-answer:
		return s
	case <-ctx.Done():
		return dispatch.Snapshot{}
	}
}

// sidecars returns the sidecars in the platform's list by ID, and whether the
// list is known.
func (r *Router) sidecars() (map[string]platform.Instance, bool) {
	out := map[string]platform.Instance{}
	list, err := r.spread.Instances(r.ctx)
	if err != nil {
		return out, false
	}
	for _, i := range list {
		if i.Role == platform.RoleSidecar {
			out[i.ID] = i
		}
	}
	return out, true
}

// Facts implements operators.Router.
func (v operatorView) Facts(ctx context.Context, teams []string) plan.Facts {
	sidecars, known := v.r.sidecars()
	facts := plan.Facts{BackendsKnown: known}
	for _, id := range slices.Sorted(maps.Keys(sidecars)) {
		facts.Backends = append(facts.Backends, plan.Backend{ID: id, Service: sidecars[id].Service, DataCentre: sidecars[id].DataCentre})
	}
	if len(teams) == 0 {
		return facts
	}
	add := func(queues []*wire.QueueBacklog) {
		for _, q := range queues {
			facts.Queues = append(facts.Queues, plan.Queue{Team: q.Team, Service: q.Service, Waiting: int(q.Waiting)})
		}
	}
	add(queuesOf(v.r.snapshot().Queues, teams))
	v.r.forEachRouter(ctx, teams, func(_ platform.Instance, answer *wire.SummaryResponse) {
		if answer == nil {
			facts.UnresponsiveRouters++
			return
		}
		add(answer.Asked)
	})
	return facts
}

// Status implements operators.Router.
func (v operatorView) Status(ctx context.Context) operator.Status {
	r := v.r
	snapshot := r.snapshot()
	doc := r.doc.Load()
	out := operator.Status{Router: r.set.ID, Revision: r.revision()}
	out.Backends = r.backendStatus(doc, snapshot.Sidecars)
	if doc != nil {
		out.Teams = len(doc.Teams)
		out.Services = serviceStatus(doc, out.Backends)
	}
	addRouter(&out, r.summary(snapshot))
	r.queryRouters(ctx, &out)
	return out
}

// backendStatus merges the platform's list with the state of the open control
// streams.
func (r *Router) backendStatus(doc *config.Document, peers []dispatch.SidecarState) []operator.Backend {
	byID := map[string]operator.Backend{}
	sidecars, _ := r.sidecars()
	for id, i := range sidecars {
		byID[id] = operator.Backend{ID: id, Service: i.Service, DataCentre: i.DataCentre, Leaving: i.State == platform.StateLeaving}
	}
	for _, p := range peers {
		b := byID[p.Sidecar]
		b.ID, b.Service, b.Linked = p.Sidecar, p.Service, true
		b.Slots, b.Free, b.Leaving = p.Slots, p.Free, p.Draining || b.Leaving
		if report, ok := r.sidecarReports.Load(p.Sidecar); ok {
			load, _ := report.(*wire.Load)
			b.Revision, b.OrdersLeft = load.GetRevision(), int(load.GetOrdersLeft())
		}
		byID[p.Sidecar] = b
	}
	var out []operator.Backend
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		b := byID[id]
		b.Drained = doc != nil && (slices.Contains(doc.Drain, id) || slices.Contains(doc.Evacuate, b.DataCentre))
		out = append(out, b)
	}
	return out
}

// serviceStatus aggregates the backend servers of each configured service.
func serviceStatus(doc *config.Document, backends []operator.Backend) []operator.Service {
	var out []operator.Service
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		s := operator.Service{Service: name, Kind: string(doc.Services[name].Kind)}
		for _, b := range backends {
			if b.Service != name || !b.Linked {
				continue
			}
			s.Linked++
			if !b.Leaving && !b.Drained {
				s.Ready++
				s.Slots += b.Slots
				s.Free += b.Free
			}
		}
		out = append(out, s)
	}
	return out
}
