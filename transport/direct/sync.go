package direct

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/watchduty"
	"goldcrestport/state/routing"
	"goldcrestport/transport/platform"
)

// follow keeps the configuration and the servers as the store has them.
func (r *Router) follow(ctx context.Context) {
	f := &follower{r: r, duty: watchduty.DefaultConfig()}
	for ctx.Err() == nil {
		if !f.asks() {
			f.await(ctx)
			continue
		}
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
	}
}

// follower is the state of the duty that reads the store.
type follower struct {
	r    *Router
	duty watchduty.Config
	// revision up to which changes are known; 0: everything must be read.
	revision uint64
	loaded   time.Time
	lost     bool
	// nextTry is when a router that is cut off from the store tries it again.
	nextTry time.Time
	// catchUp tells that other routers know of changes that this one does not.
	catchUp bool
}

// asks reports whether this router asks the store now, or relies on others.
func (f *follower) asks() bool {
	if f.revision == 0 || f.catchUp || f.retries() {
		return true
	}
	now := bootTime()
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	age, known := f.r.fresh.Age(now)
	return f.duty.Asks(f.r.set.ID, slices.Collect(maps.Keys(f.r.peers)), age, known)
}

// retries reports whether the store is due another try after it did not answer:
// other routers may still tell what is new, but not for ever.
func (f *follower) retries() bool {
	return f.r.cutSince.Load() != 0 && !time.Now().Before(f.nextTry)
}

// await waits until others tell of changes, for a moment at most.
func (f *follower) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(awaitStep):
	case <-f.r.behind:
		// What is written in quick succession is read together.
		time.Sleep(catchUpDelay)
		f.catchUp = true
	}
}

// step reads everything, or waits once for changes.
func (f *follower) step(ctx context.Context) error {
	if f.catchUp && f.revision > 0 {
		f.catchUp = false
		if err := f.askPeer(ctx); err == nil {
			f.r.metrics.peerReads.Add(1)
			f.storeBack()
			return nil
		}
		if !f.stale() {
			return f.changes(ctx, catchUpWait)
		}
	}
	if f.stale() {
		return f.load(ctx)
	}
	return f.changes(ctx, watchWait)
}

// stale reports whether everything must be read.
func (f *follower) stale() bool { return f.revision == 0 || time.Since(f.loaded) > resyncEvery }

func (f *follower) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	heard, sent := f.r.hearing(), bootTime()
	s, err := f.r.source.Load(ctx)
	if err != nil {
		return err
	}
	f.worked()
	f.r.replace(s)
	f.r.confirm(s.Config, sent, vouching{heard, s.Revision})
	f.revision, f.loaded = s.Revision, time.Now()
	return nil
}

func (f *follower) changes(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	heard, sent := f.r.hearing(), bootTime()
	d, err := f.r.source.Changes(ctx, f.revision, wait)
	if err != nil {
		// A wait that was cut may have missed changes. What other routers
		// tell goes on from what is known.
		f.loaded = time.Time{}
		return err
	}
	f.worked()
	f.r.update(d)
	f.r.confirm(d.Config, sent, vouching{heard, d.Revision})
	f.revision = d.Revision
	return nil
}

func (f *follower) failed(ctx context.Context, err error) {
	f.r.metrics.storeErrors.Add(1)
	if errors.Is(err, platform.ErrCompacted) {
		f.r.event("history_lost", "err", err)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if f.revision == 0 {
		f.askSeeds(ctx)
	}
	f.nextTry = time.Now().Add(retryEvery)
	f.r.cutSince.CompareAndSwap(0, int64(bootTime()))
	if !f.lost {
		f.lost = true
		f.r.event("store_lost", "err", err)
		f.r.mu.Lock()
		f.r.roster.StoreLost()
		f.r.mu.Unlock()
	}
	select {
	case <-time.After(storePause):
	case <-f.r.behind:
		f.catchUp = true
	case <-ctx.Done():
	}
}

// worked notes that the store answered this router.
func (f *follower) worked() {
	f.r.cutSince.Store(0)
	f.storeBack()
}

// storeBack notes that what the store holds is known again, from it or from
// another router.
func (f *follower) storeBack() {
	if !f.lost {
		return
	}
	f.lost = false
	f.r.event("store_back", "own", f.r.cutSince.Load() == 0)
	f.r.mu.Lock()
	f.r.roster.StoreBack(time.Now())
	f.r.mu.Unlock()
}

// confirm adopts a newer configuration and notes when it was the newest.
func (r *Router) confirm(c *routing.Config, sent time.Duration, v vouching) {
	if c != nil {
		r.adopt(c)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vouch = v
	if r.table.Load() != nil {
		r.fresh.Confirm(sent)
	}
	r.reached(v.revision)
}

// adopt puts a configuration in force unless a newer one is.
func (r *Router) adopt(c *routing.Config) {
	old := r.table.Load()
	if old != nil && old.Version() >= c.Version {
		return
	}
	r.table.Store(routing.NewTable(c))
	r.mu.Lock()
	r.admission.SetCapacity(c.Limits.TokensPerSecond)
	for _, s := range c.Services {
		r.admission.SetEngine(s.Name, s.Engine.Slots > 0)
	}
	r.mu.Unlock()
	r.event("configuration", "version", c.Version, "routes", len(c.Routes), "teams", len(c.Teams),
		"tokens_per_second", c.Limits.TokensPerSecond)
}

func (r *Router) replace(s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mirror.replace(s)
	r.apply(r.roster.Replace(time.Now(), s.Servers))
	r.peers = s.Routers
	r.countRouters()
}

func (r *Router) update(d Delta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mirror.update(d)
	for _, one := range d.Servers {
		r.apply(r.roster.Put(one))
	}
	for _, id := range d.Removed {
		r.apply(r.roster.Remove(time.Now(), id))
	}
	for id, address := range d.Joined {
		r.peers[id] = address
	}
	for _, id := range d.Left {
		delete(r.peers, id)
	}
	r.countRouters()
}

func (r *Router) countRouters() {
	r.peersChanged = true
	n := len(r.peers)
	if _, self := r.peers[r.set.ID]; !self {
		n++
	}
	r.admission.SetRouters(n)
}

// apply makes changes of the roster known to the decisions. The caller holds
// mu.
func (r *Router) apply(changes []roster.Change) {
	for _, c := range changes {
		if c.Usable {
			r.servers[c.Server.ID] = c.Server
			r.admission.Add(c.Server.ID, c.Server.Service, c.Server.Slots)
		} else {
			delete(r.servers, c.Server.ID)
			r.admission.Remove(c.Server.ID)
			go r.pool.Forget(c.Server.ID)
		}
		r.event("backend_server", "server", c.Server.ID, "service", c.Server.Service, "address", c.Server.Address, "usable", c.Usable, "reason", c.Reason)
	}
}

// sweep looks after idle connections and servers that lapsed.
func (r *Router) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.pool.Sweep(now)
			r.sweepCallers(now)
			r.mu.Lock()
			r.apply(r.roster.Tick(now))
			r.admission.Tick(now)
			r.mu.Unlock()
		}
	}
}

// register keeps this router's entry in the store, by which the others know
// how many share the servers.
func (r *Router) register(ctx context.Context) {
	lease := ""
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		got, err := r.source.Register(call, r.set.ID, r.set.Listen.Peers, lease, registerTTL)
		cancel()
		if err != nil {
			r.metrics.storeErrors.Add(1)
			if errors.Is(err, platform.ErrNotFound) {
				got = ""
			} else {
				got = lease
			}
		}
		lease = got
		select {
		case <-time.After(registerEvery):
		case <-ctx.Done():
		}
	}
}

// idleSlack is how long past the configuration's idle timeout a caller's
// connection is kept: callers use connections up to near that time.
const idleSlack = 500 * time.Millisecond

// sweepCallers closes callers' connections that are idle for too long or too
// many.
func (r *Router) sweepCallers(now time.Time) {
	limit := r.set.Callers.IdleTimeout.D()
	if t := r.table.Load(); t != nil && t.Limits().IdleTimeout > 0 {
		limit = t.Limits().IdleTimeout + idleSlack
	}
	most := mostConnections(r.set)
	if closed := r.callers.sweep(now, limit, most); closed > 0 {
		r.metrics.closedIdle.Add(int64(closed))
	}
}
