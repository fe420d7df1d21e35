package direct

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"goldcrestport/coordination/mirror"
	"goldcrestport/state/routing"
	"goldcrestport/transport/link"
)

// known returns the revision up to which this router knows everything; 0: it
// must read everything.
func (r *Router) known() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mirror.Revision()
}

// changesCall is the call by which a router asks another one for what the
// store holds.
const changesCall = "/goldcrest.Direct/Changes"

// changesRequest is what the asking router has.
type changesRequest struct {
	// Revision that the answer must have reached.
	Revision uint64 `json:"revision"`
	// Version of its configuration; an older or the same one is not sent.
	Version uint64 `json:"version"`
	// Have is the revision up to which it knows everything; 0: it knows
	// nothing.
	Have uint64 `json:"have"`
	// Packs tells that it takes packed answers.
	Packs bool `json:"packs,omitempty"`
}

// changesAnswer is what the asked router has: what changed after the revision
// that the asking one has, or everything.
type changesAnswer struct {
	Changes *mirror.Delta    `json:"changes,omitempty"`
	Whole   *mirror.Snapshot `json:"whole,omitempty"`
	// Settling tells that servers may be missing only because the store was
	// away.
	Settling bool `json:"settling,omitempty"`
	// Packed is the answer itself, in place of the other fields.
	Packed []byte `json:"packed,omitempty"`
}

// revision up to which the answer tells everything.
func (a *changesAnswer) revision() uint64 {
	switch {
	case a.Changes != nil:
		return a.Changes.Revision
	case a.Whole != nil:
		return a.Whole.Revision
	default:
		return 0
	}
}

// errBehind means that the asked router does not know the revision itself.
var errBehind = errors.New("the revision is not known here")

// HandleRPC implements drpc.Handler: it answers other routers.
func (r *Router) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != changesCall {
		return errors.Newf("unknown call %s", rpc)
	}
	var want changesRequest
	if err := stream.MsgRecv(&want, link.Records{}); err != nil {
		return err
	}
	have, err := r.mirrored(want)
	if err != nil {
		return err
	}
	if want.Packs {
		if have, err = r.answers.pack(want, have); err != nil {
			return err
		}
	}
	return stream.MsgSend(have, link.Records{})
}

// mirrored returns what this router has of the store for another one.
func (r *Router) mirrored(want changesRequest) (*changesAnswer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mirror.Revision() < want.Revision || r.mirror.Config() == nil {
		return nil, errBehind
	}
	answer := &changesAnswer{Settling: r.roster.Settling(time.Now())}
	if d, known := r.mirror.After(want.Have); known && want.Have > 0 && d.Revision > want.Have {
		if d.Config != nil && d.Config.Version <= want.Version {
			d.Config = nil
		}
		answer.Changes = &d
		return answer, nil
	}
	whole := r.mirror.Whole()
	whole.Routers = maps.Clone(r.peers)
	answer.Whole = &whole
	if r.mirror.Config().Version > want.Version {
		answer.Whole.Config = r.mirror.Config()
	}
	return answer, nil
}

// peerCallTimeout bounds a call of another router: some milliseconds are usual.
const peerCallTimeout = 300 * time.Millisecond

// askPeer takes what another router has that vouched for a revision.
func (f *follower) askPeer(ctx context.Context) error {
	r := f.r
	r.mu.Lock()
	address, want := r.peers[r.pending.router].Address, changesRequest{Revision: r.pending.revision, Have: r.mirror.Revision()}
	r.mu.Unlock()
	if want.Revision == 0 {
		// What others vouched for is known here by now.
		return nil
	}
	if t := r.table.Load(); t != nil {
		want.Version = t.Version()
	}
	if address == "" {
		return errBehind
	}
	return f.takeFrom(ctx, address, want)
}

// askSeeds takes what a seed has, when this router began without the store. It
// says nothing about what is the newest.
func (f *follower) askSeeds(ctx context.Context) {
	for _, seed := range f.r.set.Seeds {
		if seed == f.r.set.Listen.Seeds {
			continue
		}
		if err := f.takeFrom(ctx, seed, changesRequest{}); err == nil {
			f.r.event("began_by_seed", "seed", seed, "revision", f.r.known())
			return
		}
	}
}

// takeFrom takes what the router at the address has.
func (f *follower) takeFrom(ctx context.Context, address string, want changesRequest) error {
	r := f.r
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	want.Packs = true
	sent := bootTime()
	var got changesAnswer
	if err := link.Call(ctx, address, changesCall, want, &got); err != nil {
		return err
	}
	if err := got.unpack(); err != nil {
		return err
	}
	if got.revision() < want.Revision || got.revision() == 0 {
		return errBehind
	}
	f.storeBack(!got.Settling, sent)
	if got.Changes != nil {
		r.take(got.Changes.Config)
		r.update(*got.Changes)
	} else {
		r.take(got.Whole.Config)
		r.replace(*got.Whole)
	}
	r.mu.Lock()
	r.reached()
	r.mu.Unlock()
	// What the other router has is whole, as a reading of the store's is.
	f.loaded = time.Now()
	return nil
}

// take adopts a configuration if there is one.
func (r *Router) take(c *routing.Config) {
	if c != nil {
		r.adopt(c)
	}
}

// servePeers answers other routers until ctx ends.
func (r *Router) servePeers(ctx context.Context, lis net.Listener) {
	if err := link.ServeRecords(ctx, lis, r); err != nil && ctx.Err() == nil {
		r.event("peers_not_served", "err", err)
	}
}
