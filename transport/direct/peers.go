package direct

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Times and sizes of what routers tell each other.
const (
	// tellEvery is the time between digests in a small fleet. An engine reads
	// 1,300 tokens meanwhile, less than a long prompt.
	tellEvery = 20 * time.Millisecond
	// tellBudget bounds the datagrams that a router sends in a second; in
	// larger fleets the digests are rarer.
	tellBudget = 200
	// greetEvery is the greatest time between messages to a router that asks
	// the store: its word is as old as the last message that it heard before.
	greetEvery = 200 * time.Millisecond
	// allEvery is the time between digests that name every server, which mend
	// what lost ones left wrong.
	allEvery = time.Second
	// teamsEvery is the time between digests that name the teams. Their shares
	// are of the last seconds.
	teamsEvery = 250 * time.Millisecond
	// vouchCopies is the number of routers of another data centre that pass a word of
	// the store's on: one of them may have failed, and nobody know it yet.
	vouchCopies = 2
	// maxDatagram bounds a message, in bytes, below what UDP takes. Changes that
	// find no room beside the digest are asked for.
	maxDatagram = 60 << 10
)

// exchange begins the duties that tell other routers and listen to them.
func (r *Router) exchange(ctx context.Context) error {
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
	t := &teller{r: r, conn: conn, seq: rand.Uint32(), destinations: make(map[string]netip.AddrPort), watchers: make(map[string]netip.AddrPort)}
	go t.run(ctx)
	go r.listen(conn)
	return nil
}

// serveSeeds answers routers that begin.
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
