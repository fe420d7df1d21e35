package sidecar

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"goldcrestport/coordination/share"
	"goldcrestport/protocol/wire"
)

// Control implements wire.DRPCSidecarServer.
func (s *Sidecar) Control(stream wire.DRPCSidecar_ControlStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	if up.Hello == nil {
		return errors.New("control: first message has no hello")
	}
	runs := s.runs.Load()
	welcome := &wire.Welcome{
		Sidecar:     s.set.ID,
		Incarnation: runs.incarnation,
		Service:     s.set.Service,
		DataCentre:  s.set.DataCentre,
	}
	if err := stream.Send(&wire.ControlDown{Welcome: welcome}); err != nil {
		return err
	}
	address := up.Hello.Address
	s.receiveRevision(address, up.Hello.Revision, up.Hello.ConfigAgeMs)
	r := newRouter(up.Hello.Router)
	s.scheduler.post(s.ctx, message{connected: r})
	defer s.drain.set(s.ctx, drainByRouter(r.id), false)
	defer s.scheduler.post(s.ctx, message{disconnected: r, event: share.RouterDown{Router: r.id}})
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	// A router learns of a new incarnation only from a new Welcome message, so
	// the stream is closed when this incarnation is retired.
	stop := context.AfterFunc(runs.ctx, func() { _ = stream.Close() })
	defer stop()
	go s.sendControl(ctx, cancel, stream, r)
	s.receiveControl(ctx, stream, r, address)
	return nil
}

// sendControl writes the router's queued messages to its stream.
func (s *Sidecar) sendControl(ctx context.Context, cancel context.CancelFunc, stream wire.DRPCSidecar_ControlStream, r *router) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.overflowed:
			_ = stream.Close()
			return
		case m := <-r.queue:
			if stream.Send(m) != nil {
				return
			}
			s.metrics.control(0, proto.Size(m))
		}
	}
}

// receiveControl converts the router's messages to events.
func (s *Sidecar) receiveControl(ctx context.Context, stream wire.DRPCSidecar_ControlStream, r *router, address string) {
	for ctx.Err() == nil {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		s.metrics.control(proto.Size(up), 0)
		if b := up.Beat; b != nil {
			s.receiveRevision(address, b.Revision, b.ConfigAgeMs)
		}
		for _, i := range up.Interests {
			s.scheduler.post(ctx, message{event: share.Interest{
				Router: r.id,
				Team:   i.Team,
				Count:  int(i.Count),
				Oldest: wire.Millis(i.OldestMs),
				Spread: int(i.Spread),
			}})
		}
		if up.Listed != wire.Listed_LISTED_UNSPECIFIED {
			s.drain.set(ctx, drainByRouter(r.id), up.Listed == wire.Listed_LISTED_LEAVING)
		}
		for _, e := range up.Empties {
			s.scheduler.post(ctx, message{event: share.PullEmpty{Pull: e.Pull}})
		}
	}
}
