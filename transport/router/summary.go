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

// Limits of a query to all routers: the answers of 800 routers stay below a
// megabyte, and one router that hangs does not delay the others.
const (
	summaryQueues      = 10
	statusQueues       = 100
	summaryConcurrency = 32
	summaryTimeout     = time.Second
	statusTimeout      = 4 * time.Second
)

// Summary implements wire.DRPCRouterStatusServer.
func (r *Router) Summary(_ context.Context, req *wire.SummaryRequest) (*wire.SummaryResponse, error) {
	s := r.snapshot()
	out := r.summary(s)
	out.Asked = queuesOf(s.Queues, req.Teams)
	return out, nil
}

// queuesOf returns the queues of the teams.
func queuesOf(queues []dispatch.QueueState, teams []string) []*wire.QueueBacklog {
	wanted := map[string]bool{}
	for _, t := range teams {
		wanted[t] = true
	}
	var out []*wire.QueueBacklog
	for _, q := range queues {
		if wanted[q.Team] {
			out = append(out, backlog(q))
		}
	}
	return out
}

func backlog(q dispatch.QueueState) *wire.QueueBacklog {
	return &wire.QueueBacklog{
		Service: q.Service, Team: q.Team, Waiting: uint32(q.Waiting), Bytes: q.Bytes, OldestMs: q.Oldest.Milliseconds(),
	}
}

// summary returns this router's status with its queues condensed to a bounded
// size.
func (r *Router) summary(s dispatch.Snapshot) *wire.SummaryResponse {
	out := &wire.SummaryResponse{Router: r.set.ID, DataCentre: r.set.DataCentre, State: "ready", Revision: r.revision()}
	if err := r.ready(); err != nil {
		out.State = err.Error()
	}
	out.Services, out.Queues = condense(s.Queues)
	return out
}

// condense totals the queues by service and selects those whose oldest request
// waits longest.
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
		top = append(top, backlog(q))
	}
	return services, top
}

// queryRouters adds the summaries that the other routers in the list return in
// time.
func (r *Router) queryRouters(ctx context.Context, out *operator.Status) {
	r.forEachRouter(ctx, nil, func(i platform.Instance, answer *wire.SummaryResponse) {
		if answer == nil {
			out.Routers = append(out.Routers, operator.Router{ID: i.ID, DataCentre: i.DataCentre, State: string(i.State)})
			return
		}
		addRouter(out, answer)
	})
	slices.SortFunc(out.Routers, func(a, b operator.Router) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(out.Queues, func(a, b operator.Queue) int { return cmp.Compare(b.OldestMS, a.OldestMS) })
	out.Queues = out.Queues[:min(len(out.Queues), statusQueues)]
}

// forEachRouter queries the other routers in the list with limited concurrency
// and calls handle with each answer, or nil if there was none in time. Calls of
// handle do not overlap.
func (r *Router) forEachRouter(ctx context.Context, teams []string, handle func(platform.Instance, *wire.SummaryResponse)) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	list, err := r.spread.Instances(ctx)
	if err != nil {
		return
	}
	var mu sync.Mutex
	var queries sync.WaitGroup
	slots := make(chan struct{}, summaryConcurrency)
	for _, i := range list {
		if i.Role != platform.RoleRouter || i.ID == r.set.ID {
			continue
		}
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			answer := r.querySummary(ctx, i.Address, teams)
			mu.Lock()
			defer mu.Unlock()
			handle(i, answer)
		})
	}
	queries.Wait()
}

// querySummary queries one router; it returns nil if there is no answer in time.
func (r *Router) querySummary(ctx context.Context, address string, teams []string) *wire.SummaryResponse {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	answer, err := wire.NewDRPCRouterStatusClient(r.pool.Get(ctx, address)).Summary(ctx, &wire.SummaryRequest{Teams: teams})
	if err != nil {
		return nil
	}
	return answer
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
