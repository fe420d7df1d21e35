package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
)

// Bounds of a question to all routers: the answers of 800 routers stay below a
// megabyte and one that hangs doesn't hold up the rest.
const (
	summaryQueues  = 10
	statusQueues   = 100
	summaryAsks    = 32
	summaryTimeout = time.Second
	statusTimeout  = 4 * time.Second
)

// Summary implements wire.DRPCRouterStatusServer.
func (r *Router) Summary(context.Context, *wire.SummaryRequest) (*wire.SummaryResponse, error) {
	return r.summary(r.snapshot()), nil
}

// summary condenses the queues to a bounded size.
func (r *Router) summary(s dispatch.Snapshot) *wire.SummaryResponse {
	out := &wire.SummaryResponse{Router: r.set.ID, DataCentre: r.set.DataCentre, State: "ready", Revision: r.revision()}
	if err := r.ready(); err != nil {
		out.State = err.Error()
	}
	out.Services, out.Queues = condense(s.Queues)
	return out
}

// condense sums the queues up by service and keeps those that wait longest.
func condense(queues []dispatch.QueueState) ([]*wire.ServiceBacklog, []*wire.QueueBacklog) {
	var services []*wire.ServiceBacklog
	for _, q := range queues {
		// The queues are sorted by service.
		if n := len(services); n == 0 || services[n-1].Service != q.Service {
			services = append(services, &wire.ServiceBacklog{Service: q.Service})
		}
		s := services[len(services)-1]
		s.Waiting += uint32(q.Waiting)
		s.Teams++
	}
	oldest := slices.Clone(queues)
	slices.SortStableFunc(oldest, func(a, b dispatch.QueueState) int { return cmp.Compare(b.Oldest, a.Oldest) })
	var top []*wire.QueueBacklog
	for _, q := range oldest[:min(len(oldest), summaryQueues)] {
		top = append(top, &wire.QueueBacklog{
			Service: q.Service, Team: q.Team, Waiting: uint32(q.Waiting), Bytes: q.Bytes, OldestMs: q.Oldest.Milliseconds(),
		})
	}
	return services, top
}

// askRouters adds what the other routers of the list answer in time.
func (r *Router) askRouters(ctx context.Context, out *operator.Status) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	list, err := r.spread.Instances(ctx)
	if err != nil {
		return
	}
	var mu sync.Mutex
	var asked sync.WaitGroup
	slots := make(chan struct{}, summaryAsks)
	for _, i := range list {
		if i.Role != platform.RoleRouter || i.ID == r.set.ID {
			continue
		}
		slots <- struct{}{}
		asked.Go(func() {
			defer func() { <-slots }()
			answer, err := r.askSummary(ctx, i.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Routers = append(out.Routers, operator.Router{ID: i.ID, DataCentre: i.DataCentre, State: string(i.State)})
				return
			}
			addRouter(out, answer)
		})
	}
	asked.Wait()
	slices.SortFunc(out.Routers, func(a, b operator.Router) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(out.Queues, func(a, b operator.Queue) int { return cmp.Compare(b.OldestMS, a.OldestMS) })
	out.Queues = out.Queues[:min(len(out.Queues), statusQueues)]
}

func (r *Router) askSummary(ctx context.Context, address string) (*wire.SummaryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	return wire.NewDRPCRouterStatusClient(r.pool.Get(ctx, address)).Summary(ctx, &wire.SummaryRequest{})
}

// addRouter adds one router's answer to the fleet's status.
func addRouter(out *operator.Status, a *wire.SummaryResponse) {
	router := operator.Router{ID: a.Router, DataCentre: a.DataCentre, State: a.State, Answered: true, Revision: a.Revision}
	for _, b := range a.Services {
		router.Waiting += int(b.Waiting)
		for i := range out.Services {
			if s := &out.Services[i]; s.Service == b.Service {
				s.Waiting += int(b.Waiting)
				s.WaitingTeams = max(s.WaitingTeams, int(b.Teams))
			}
		}
	}
	for _, q := range a.Queues {
		out.Queues = append(out.Queues, operator.Queue{
			Router: a.Router, Service: q.Service, Team: q.Team, Waiting: int(q.Waiting), Bytes: q.Bytes, OldestMS: q.OldestMs,
		})
	}
	out.Routers = append(out.Routers, router)
}
