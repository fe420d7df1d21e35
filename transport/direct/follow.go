package direct

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/watchduty"
	"goldcrestport/transport/platform"
)

// follow keeps the configuration and the servers up to date with the store.
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
		if r.table.Load() == nil {
			// The whole fleet and its servers may be starting, so what they write meanwhile is
			// read in one call.
			sleep(ctx, startPause)
		}
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// follower is the state of the task that reads the store.
type follower struct {
	r      *Router
	duty   watchduty.Config
	loaded time.Time
	lost   bool
	// nextTry is when a router that cannot reach the store tries it again.
	nextTry time.Time
	// catchUp tells that other routers have changes that this one lacks.
	catchUp bool
	// wanted tells that a request waits for more recent information.
	wanted bool
}

// asks reports whether this router queries the store now, or relies on other routers.
func (f *follower) asks() bool {
	if f.r.known() == 0 || f.catchUp || f.wanted || f.retries() {
		return true
	}
	now := bootTime()
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	k := watchduty.Knowledge{Silent: now - f.r.toldAt}
	k.Age, k.Known = f.r.fresh.Age(now)
	return f.duty.Asks(f.r.set.ID, f.r.routers(), k)
}

// routers returns the ids of all routers, including this one. The caller holds mu.
func (r *Router) routers() []string {
	ids := slices.Collect(maps.Keys(r.peers))
	if _, listed := r.peers[r.set.ID]; !listed {
		ids = append(ids, r.set.ID)
	}
	return ids
}

// retries reports whether a store that did not answer is due another try: other routers may
// still send updates, but not forever.
func (f *follower) retries() bool {
	return f.r.cutSince.Load() != 0 && !time.Now().Before(f.nextTry)
}

// await waits for other routers to report changes, for awaitStep at most.
func (f *follower) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(awaitStep):
	case <-f.r.wanted:
		f.wanted = true
	case <-f.r.behind:
		// Changes that are written in quick succession are read together.
		time.Sleep(catchUpDelay)
		f.catchUp = true
	}
}

// step reads everything, or waits once for changes.
func (f *follower) step(ctx context.Context) error {
	if f.catchUp && f.r.known() > 0 {
		f.catchUp = false
		if err := f.askPeer(ctx); err == nil {
			f.r.metrics.peerReads.Add(1)
			return nil
		}
		if !f.stale() {
			return f.changes(ctx, catchUpWait)
		}
	}
	if f.stale() {
		return f.load(ctx)
	}
	if f.wanted {
		f.wanted = false
		return f.changes(ctx, wantedWait)
	}
	return f.changes(ctx, f.patience())
}

// patience is how long this router waits for changes: a router chosen to watch for all waits
// long, any other one only fetches what is already available.
func (f *follower) patience() time.Duration {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.r.table.Load() == nil || slices.Contains(f.duty.Chosen(f.r.routers()), f.r.set.ID) {
		return watchWait
	}
	return catchUpWait
}

// stale reports whether everything must be read.
func (f *follower) stale() bool { return f.r.known() == 0 || time.Since(f.loaded) > resyncEvery }

func (f *follower) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	heard, sent := f.r.hearing(), bootTime()
	s, err := f.r.source.Load(ctx)
	if err != nil {
		return err
	}
	f.worked(sent)
	f.r.replace(s)
	f.r.confirm(s.Config, sent, vouching{heard, s.Revision})
	f.loaded = time.Now()
	return nil
}

func (f *follower) changes(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	heard, sent := f.r.hearing(), bootTime()
	after := f.r.known()
	d, err := f.r.source.Changes(ctx, after, wait)
	if err != nil {
		// An interrupted wait may have missed changes. Updates from other routers continue
		// from the known revision.
		f.loaded = time.Time{}
		return err
	}
	f.worked(sent)
	f.r.update(d)
	f.r.pass(after, d)
	f.r.confirm(d.Config, sent, vouching{heard, d.Revision})
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
	if f.r.known() == 0 {
		f.askSeeds(ctx)
	}
	f.nextTry = time.Now().Add(retryEvery)
	f.r.cutSince.CompareAndSwap(0, int64(bootTime()))
	f.storeLost(err)
	select {
	case <-time.After(storePause):
	case <-f.r.behind:
		f.catchUp = true
	case <-ctx.Done():
	}
}

// storeLost records that the store does not answer this router. Entries may lapse from now on,
// unless others report that the store answers them.
func (f *follower) storeLost(err error) {
	if f.ownFault(err) {
		return
	}
	now := bootTime()
	f.r.mu.Lock()
	if !f.lost || now-f.r.toldAt > othersSilent {
		f.r.lostAt = now
		f.r.roster.StoreLost()
	}
	f.r.mu.Unlock()
	if !f.lost {
		f.lost = true
		f.r.event("store_lost", "err", err)
	}
}

// ownFault reports whether a timeout is most likely this router's own: a saturated router
// reads answers seconds late. Treating that as an outage of the store would keep servers whose
// entries are gone because they shut down.
func (f *follower) ownFault(err error) bool {
	return f.r.load.saturated.Load() && errors.Is(err, context.DeadlineExceeded)
}

// worked records that the store answered a call of this router that was sent at the given
// reading of bootTime.
func (f *follower) worked(sent time.Duration) {
	f.r.cutSince.Store(0)
	f.storeBack(false, sent)
}

// storeBack records that the store's contents are known again, from the store or from another
// router, which may report that the store was available throughout. The store answered at the
// given reading of bootTime.
func (f *follower) storeBack(sound bool, at time.Duration) {
	if !f.lost {
		return
	}
	f.lost = false
	f.r.event("store_back", "own", f.r.cutSince.Load() == 0)
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if sound {
		f.r.roster.StoreSound()
	} else {
		f.r.roster.StoreBack(wallTime(at))
	}
}
