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

// knownRevision returns the revision up to which this router is complete; 0 means that it must
// read everything.
func (r *Router) knownRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mirror.Revision()
}

// changesCall is the RPC by which a router asks a peer for its mirror of the store.
const changesCall = "/goldcrest.Direct/Changes"

// changesRequest describes what the asking router has.
type changesRequest struct {
	// Revision that the answer must have reached.
	Revision uint64 `json:"revision"`
	// Version of its configuration; an older or equal one is not sent.
	Version uint64 `json:"version"`
	// Have is the revision up to which it is complete; 0 means that it has nothing.
	Have uint64 `json:"have"`
	// Packs means that it accepts packed answers.
	Packs bool `json:"packs,omitempty"`
}

// changesAnswer holds the changes after the asking router's revision, or a whole snapshot.
type changesAnswer struct {
	Changes *mirror.Delta    `json:"changes,omitempty"`
	Whole   *mirror.Snapshot `json:"whole,omitempty"`
	// Settling means that servers may be missing only because the store was unavailable.
	Settling bool `json:"settling,omitempty"`
	// Packed is the encoded answer, in place of the other fields.
	Packed []byte `json:"packed,omitempty"`
}

// revision returns the revision up to which the answer is complete.
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

// errBehind means that the asked router has not reached the revision itself.
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
	have, err := r.changesFor(want)
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

// changesFor returns this router's mirror of the store for another router.
func (r *Router) changesFor(want changesRequest) (*changesAnswer, error) {
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
	fleet := r.fleetSize.Record(time.Now())
	whole.Fleet = &fleet
	whole.HandedOver = r.versions.Accounted()
	whole.Served = r.versions.Records(time.Now())
	answer.Whole = &whole
	if r.mirror.Config().Version > want.Version {
		answer.Whole.Config = r.mirror.Config()
	}
	return answer, nil
}

// peerCallTimeout bounds a call to another router, which usually takes a few milliseconds.
const peerCallTimeout = 300 * time.Millisecond

// fetchFromPeer fetches the state of the router that confirmed the pending revision as current.
func (f *follower) fetchFromPeer(ctx context.Context) error {
	r := f.r
	r.mu.Lock()
	address, want := r.peers[r.pending.router].Address, changesRequest{Revision: r.pending.revision, Have: r.mirror.Revision()}
	r.mu.Unlock()
	if want.Revision == 0 {
		// The pending revision has been reached meanwhile.
		return nil
	}
	if t := r.table.Load(); t != nil {
		want.Version = t.Version()
	}
	if address == "" {
		return errBehind
	}
	return f.fetchFrom(ctx, address, want)
}

// fetchFromSeeds fetches the state of a seed when this router started while the store was
// unavailable. It does not confirm that the state is current.
func (f *follower) fetchFromSeeds(ctx context.Context) {
	for _, seed := range f.r.set.Seeds {
		if seed == f.r.set.Listen.Seeds {
			continue
		}
		if err := f.fetchFrom(ctx, seed, changesRequest{}); err == nil {
			f.r.event("began_by_seed", "seed", seed, "revision", f.r.knownRevision())
			return
		}
	}
}

// fetchFrom fetches and applies the state of the router at the address.
func (f *follower) fetchFrom(ctx context.Context, address string, want changesRequest) error {
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
		r.adoptIfPresent(got.Changes.Config)
		r.update(*got.Changes)
	} else {
		r.adoptIfPresent(got.Whole.Config)
		r.replace(*got.Whole)
		r.mergeFleet(got.Whole.Fleet)
	}
	r.mu.Lock()
	r.confirmPending()
	r.mu.Unlock()
	// The other router's state is complete, as if it were read from the store.
	f.loaded = time.Now()
	return nil
}

// adoptIfPresent adopts a configuration if there is one.
func (r *Router) adoptIfPresent(c *routing.Config) {
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
