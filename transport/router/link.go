package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestport/coordination/dispatch"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
)

// Initial and maximum delay before a lost control stream is opened again; the
// delay grows while the sidecar does not answer.
const (
	minReconnectDelay = 200 * time.Millisecond
	maxReconnectDelay = 3 * time.Second
)

// reconcileEvery is the interval at which the open links are reconciled with
// the cached instance list.
const reconcileEvery = 200 * time.Millisecond

// sidecarLink is the control stream to one sidecar.
type sidecarLink struct {
	id   string
	addr string
	// incarnation is that of the sidecar this stream is connected to.
	incarnation string
	out         chan *wire.ControlUp
	overflow    chan struct{}
	closed      bool
}

// send queues a message; if the queue is full, it has the stream closed. Only
// the dispatcher may call it.
func (l *sidecarLink) send(m *wire.ControlUp) {
	select {
	case l.out <- m:
		return
	default:
	}
	if !l.closed {
		l.closed = true
		close(l.overflow)
	}
}

// linkManager keeps a control stream to every sidecar in the platform's
// instance list.
type linkManager struct {
	r    *Router
	open map[string]context.CancelFunc
}

// run follows the instance list until ctx ends.
func (l *linkManager) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	for {
		if list, err := l.r.spread.Instances(ctx); err == nil {
			l.apply(ctx, list)
			l.r.claims.SetRouters(liveRouters(list))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *linkManager) apply(ctx context.Context, list []platform.Instance) {
	seen := map[string]bool{}
	l.r.listedStates.set(list)
	routers := 0
	for _, i := range list {
		if !l.r.servesDataCentre(i.DataCentre) {
			continue
		}
		if i.Role == platform.RoleRouter && i.State == platform.StateLive {
			routers++
		}
		if i.Role != platform.RoleSidecar {
			continue
		}
		key := i.ID + "@" + i.Address
		seen[key] = true
		if l.open[key] == nil {
			sub, cancel := context.WithCancel(ctx)
			l.open[key] = cancel
			go l.r.maintainLink(sub, i)
		}
	}
	l.r.dispatcher.post(ctx, message{event: dispatch.RouterCountChanged{Count: routers}})
	for key, cancel := range l.open {
		if !seen[key] {
			cancel()
			delete(l.open, key)
		}
	}
}

// servesDataCentre reports whether this router dispatches requests to the data centre.
func (r *Router) servesDataCentre(dataCentre string) bool {
	return len(r.set.Region) == 0 || slices.Contains(r.set.Region, dataCentre)
}

// maintainLink reopens the control stream until ctx ends. The delay doubles
// while the sidecar does not answer and has jitter, so that the routers of a
// region neither dial an unreachable data centre continuously nor reconnect to
// it all at once.
func (r *Router) maintainLink(ctx context.Context, i platform.Instance) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		opened, err := r.runLink(ctx, i)
		if err != nil && ctx.Err() == nil {
			_ = r.log.Log("event", "link_lost", "sidecar", i.ID, "err", err)
		}
		if opened {
			delay = minReconnectDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + time.Duration(rand.Int64N(int64(delay)))):
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

// runLink opens one control stream and serves it until it ends. It reports
// whether the sidecar answered.
func (r *Router) runLink(ctx context.Context, i platform.Instance) (opened bool, err error) {
	conn, err := r.pool.Dial(ctx, i.Address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stream, err := wire.NewDRPCSidecarClient(conn).Control(ctx)
	if err != nil {
		return false, err
	}
	hello := &wire.Hello{Router: r.set.ID, DataCentre: r.set.DataCentre, Revision: r.revision(), Address: r.set.Listen.Peers, ConfigAgeMs: r.spread.Age().Milliseconds()}
	if err := stream.Send(&wire.ControlUp{Hello: hello}); err != nil {
		return false, err
	}
	down, err := stream.Recv()
	if err != nil {
		return false, err
	}
	l := &sidecarLink{
		id:          i.ID,
		addr:        i.Address,
		incarnation: down.GetWelcome().GetIncarnation(),
		out:         make(chan *wire.ControlUp, controlQueueSize),
		overflow:    make(chan struct{}),
	}
	r.dispatcher.post(ctx, message{link: l, event: dispatch.SidecarUp{Sidecar: l.id, Service: down.GetWelcome().GetService()}})
	defer r.dispatcher.post(r.ctx, message{link: l, event: dispatch.SidecarDown{Sidecar: l.id}})
	r.linkCount.Add(1)
	defer r.linkCount.Add(-1)
	defer r.sidecarReports.Delete(l.id)
	go sendLink(stream, l, r.dispatcher.vars)
	go r.sendListedState(stream, l.id)
	return true, r.receiveLink(ctx, stream, l)
}

// sendLink writes the link's queued messages to its stream.
func sendLink(stream wire.DRPCSidecar_ControlClient, l *sidecarLink, vars *dispatchVars) {
	for {
		select {
		case <-stream.Context().Done():
			return
		case <-l.overflow:
			_ = stream.Close()
			return
		case m := <-l.out:
			for m != nil {
				var rest *wire.ControlUp
				m, rest = mergeQueued(m, l.out)
				vars.controlOut.Add(int64(proto.Size(m)))
				if stream.Send(m) != nil {
					return
				}
				m = rest
			}
		}
	}
}

// mergeQueued merges queued messages into the first one, to save frames. It
// returns the message that could not be merged, if any. A receiver handles
// interests before empties, so an interest is never merged into a message that
// already has an empty.
func mergeQueued(first *wire.ControlUp, queued <-chan *wire.ControlUp) (merged, rest *wire.ControlUp) {
	for range controlQueueSize {
		select {
		case next := <-queued:
			if len(first.Empties) > 0 && len(next.Interests) > 0 || next.Hello != nil || next.Beat != nil {
				return first, next
			}
			first.Interests = append(first.Interests, next.Interests...)
			first.Empties = append(first.Empties, next.Empties...)
		default:
			return first, nil
		}
	}
	return first, nil
}

// receiveLink converts the sidecar's messages into dispatcher events.
func (r *Router) receiveLink(ctx context.Context, stream wire.DRPCSidecar_ControlClient, l *sidecarLink) error {
	for {
		down, err := stream.Recv()
		if err != nil {
			return err
		}
		r.dispatcher.vars.controlIn.Add(int64(proto.Size(down)))
		if load := down.Load; load != nil {
			r.revisionReported(l, load)
			r.sidecarReports.Store(l.id, load)
			r.dispatcher.post(ctx, message{event: dispatch.LoadReported{
				Sidecar:  l.id,
				Slots:    int(load.Slots),
				Free:     int(load.Free),
				Waiting:  int(load.Waiting),
				Draining: load.Leaving,
				Ejected:  load.Ejected,
			}})
		}
		for _, p := range down.Pulls {
			r.dispatcher.post(ctx, message{event: dispatch.Pulled{Sidecar: l.id, Pull: p.Pull, Team: p.Team, Prefixes: p.Prefixes}})
		}
	}
}
