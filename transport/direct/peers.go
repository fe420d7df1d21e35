package direct

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/pace"
)

// Intervals and size limits of the messages between routers.
const (
	// digestInterval is the interval between digests in a small fleet. An engine reads 1,300
	// tokens in it, less than a long prompt.
	digestInterval = 20 * time.Millisecond
	// digestBudget bounds the datagrams that a router sends per second; in larger fleets digests
	// are sent less often.
	digestBudget = 200
	// heartbeatInterval is the maximum interval between messages to a router that queries the
	// store: that router's confirmation is as old as the last message that it received before.
	heartbeatInterval = 200 * time.Millisecond
	// fullDigestInterval is the interval between digests that name every server, which correct
	// what lost digests left wrong.
	fullDigestInterval = time.Second
	// teamsInterval is the interval between digests that name the teams. Their shares cover the
	// last seconds.
	teamsInterval = 250 * time.Millisecond
	// confirmationCopies is the number of routers of another data centre that forward a
	// confirmation by the store: one of them may have failed without its failure being known
	// yet.
	confirmationCopies = 2
	// maxDatagram bounds a message, in bytes, below the limit of UDP. Changes that do not fit
	// beside the digest are fetched by the receivers.
	maxDatagram = 60 << 10
)

// startGossip starts the tasks that send messages to other routers and receive theirs.
func (r *Router) startGossip(ctx context.Context) error {
	if r.set.Listen.Peers == "" {
		return nil
	}
	at, err := net.ResolveUDPAddr("udp4", r.set.Listen.Peers)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", r.set.Listen.Peers)
	if err != nil {
		return errors.CombineErrors(err, conn.Close())
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go r.servePeers(ctx, lis)
	if err := r.serveSeeds(ctx); err != nil {
		return err
	}
	t := &gossiper{r: r, conn: conn, seq: rand.Uint32(), destinations: make(map[string]netip.AddrPort), watchers: make(map[string]netip.AddrPort), pace: pace.NewRounds(r.cfg.Admission.Pace.Sharing)}
	go t.run(ctx)
	r.origins.conn.Store(conn)
	go r.origins.run(ctx)
	go r.receiveDatagrams(conn)
	return nil
}

// serveSeeds answers routers that are starting.
func (r *Router) serveSeeds(ctx context.Context) error {
	if r.set.Listen.Seeds == "" {
		return nil
	}
	lis, err := net.Listen("tcp", r.set.Listen.Seeds)
	if err != nil {
		return errors.Wrap(err, "listen.seeds")
	}
	go r.servePeers(ctx, lis)
	return nil
}
