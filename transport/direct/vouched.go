package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"goldcrestport/coordination/roster"
	"goldcrestport/transport/backend"
)

// maxVouched bounds the servers to which a router keeps a connection only so that it knows their
// processes. A router of a large fleet has streams at most servers that it uses.
const maxVouched = 64

// keepVouched keeps a connection to each server of a service with several versions, so that further
// ones are known to lead to the same process. It returns at once.
func (r *Router) keepVouched(ctx context.Context, now time.Time) {
	for _, server := range r.serversToVouch(now) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sweepInterval)
			defer cancel()
			// The next sweep tries again; what the error says of the server is known by then.
			_ = r.pool.KeepVouched(ctx, backend.Target{ID: server.Identity(), Address: server.Address})
		}()
	}
}

// gatherJoined is for how long entries that are new are gathered.
const gatherJoined = 10 * time.Millisecond

// vouchOnChange keeps those connections from the moment at which entries of servers are new, until ctx
// ends: a stream may need them at once when the first server of another version comes, and may be cut
// by a server whose entry has come back.
func (r *Router) vouchOnChange(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.serversJoined:
			sleep(ctx, gatherJoined)
			r.keepVouched(ctx, time.Now())
		}
	}
}

// wake lets the task that waits on the channel go on.
func wake(task chan<- struct{}) {
	select {
	case task <- struct{}{}:
	default:
	}
}

// serversToVouch returns the servers of services with several versions, as many of each version as can
// be, those of this data centre first: late in a release few servers of a version are left, and only
// they can go on with its streams.
func (r *Router) serversToVouch(now time.Time) []roster.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	mixed := r.versions.Mixed(now)
	if len(mixed) == 0 {
		return nil
	}
	var out []roster.Server
	for _, server := range r.servers {
		if slices.Contains(mixed, server.Service) {
			out = append(out, server)
		}
	}
	slices.SortFunc(out, func(a, b roster.Server) int {
		return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(a.ID, b.ID))
	})
	takeTurns(out)
	return out[:min(len(out), maxVouched)]
}

// takeTurns orders servers so that those of one service and version come by turns with those of others.
// Among themselves they keep their order.
func takeTurns(all []roster.Server) {
	type group struct {
		service string
		version roster.Version
	}
	sizes, turns := make(map[group]int), make(map[string]int, len(all))
	for _, server := range all {
		g := group{server.Service, server.Version}
		turns[server.ID] = sizes[g]
		sizes[g]++
	}
	slices.SortStableFunc(all, func(a, b roster.Server) int { return cmp.Compare(turns[a.ID], turns[b.ID]) })
}

// distance orders servers: those of this data centre first.
func (r *Router) distance(server roster.Server) int {
	if server.DataCentre == r.set.DataCentre {
		return 0
	}
	return 1
}
