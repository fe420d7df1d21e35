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
	f := &follower{r: r, duty: watchduty.DefaultConfig(), retry: watchduty.DefaultRetry()}
	for ctx.Err() == nil {
		if !f.queriesStore() {
			f.await(ctx)
			continue
		}
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		if r.lacksConfig() {
			f.fetchConfig(ctx)
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
	r                *Router
	duty             watchduty.Config
	retry            watchduty.Retry
	loaded           time.Time
	storeUnavailable bool
	// nextTry is when a router that cannot reach the store tries it again.
	nextTry time.Time
	// catchUp means that other routers have changes that this one lacks.
	catchUp bool
	// infoWanted means that a request waits for more recent information.
	infoWanted bool
	// completed is when everything was last read because other routers pass entries on without
	// software versions.
	completed time.Time
}

// queriesStore reports whether this router queries the store now, or relies on other routers.
func (f *follower) queriesStore() bool {
	if f.r.knownRevision() == 0 || f.catchUp || f.infoWanted || f.isRetryDue() || f.lacksVersions() {
		return true
	}
	now := bootTime()
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	k := watchduty.Knowledge{SinceUpdate: now - f.r.confirmedAt}
	k.Age, k.Known = f.r.fresh.Age(now)
	return f.duty.ShouldPoll(f.r.set.ID, f.r.routers(), k)
}

// routers returns the ids of all routers, including this one. The caller holds mu.
func (r *Router) routers() []string {
	ids := slices.Collect(maps.Keys(r.peers))
	if _, listed := r.peers[r.set.ID]; !listed {
		ids = append(ids, r.set.ID)
	}
	return ids
}

// isRetryDue reports whether a store that did not answer is due another try: other routers may
// still send updates, but not forever.
func (f *follower) isRetryDue() bool {
	return f.r.storeSilentSince.Load() != 0 && !time.Now().Before(f.nextTry)
}

// await waits for other routers to report changes, for awaitInterval at most.
func (f *follower) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(awaitInterval):
	case <-f.r.infoWanted:
		f.infoWanted = true
	case <-f.r.catchUpNeeded:
		// Changes that are written in quick succession are read together.
		time.Sleep(catchUpDelay)
		f.catchUp = true
	}
}

// step reads everything, or waits once for changes.
func (f *follower) step(ctx context.Context) error {
	if f.catchUp && f.r.knownRevision() > 0 {
		f.catchUp = false
		if err := f.fetchFromPeer(ctx); err == nil {
			f.r.metrics.peerReads.Add(1)
			return nil
		}
		if !f.needsFullRead() {
			return f.changes(ctx, catchUpWait)
		}
	}
	if f.needsFullRead() {
		return f.load(ctx)
	}
	if f.infoWanted {
		f.infoWanted = false
		return f.changes(ctx, urgentWait)
	}
	return f.changes(ctx, f.changesWait())
}

// changesWait is how long this router waits for changes: a router chosen to watch for all waits
// long, any other one only fetches what is already available.
func (f *follower) changesWait() time.Duration {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.r.table.Load() == nil || slices.Contains(f.duty.Chosen(f.r.routers()), f.r.set.ID) {
		return watchWait
	}
	return catchUpWait
}

// lacksVersions reports whether everything must be read as the software versions of some servers are
// not known: beside routers of a build that does not know them.
func (f *follower) lacksVersions() bool {
	if time.Since(f.completed) < resyncInterval {
		return false
	}
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	return f.r.versions.IsIncomplete()
}

// needsFullRead reports whether everything must be read.
func (f *follower) needsFullRead() bool {
	return f.r.knownRevision() == 0 || f.lacksVersions() || time.Since(f.loaded) > resyncInterval
}

func (f *follower) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lastSeqs, sent := f.r.lastHeard(), bootTime()
	s, err := f.r.source.Load(ctx)
	f.r.countStoreCall(callLoad, err)
	if err != nil {
		return err
	}
	f.storeAnswered(sent)
	f.r.replace(s)
	f.r.readFleet(s.Fleet)
	f.completed = time.Now()
	f.r.confirm(s.Config, sent, confirmation{lastSeqs, s.Revision})
	f.loaded = time.Now()
	return nil
}

func (f *follower) changes(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	lastSeqs, sent := f.r.lastHeard(), bootTime()
	after := f.r.knownRevision()
	d, err := f.r.source.Changes(ctx, after, wait)
	f.r.countStoreCall(callChanges, err)
	if err != nil {
		// An interrupted wait may have missed changes. Updates from other routers continue
		// from the known revision.
		f.loaded = time.Time{}
		return err
	}
	f.storeAnswered(sent)
	f.r.update(d)
	f.r.attachChanges(after, d)
	f.r.confirm(d.Config, sent, confirmation{lastSeqs, d.Revision})
	return nil
}

func (f *follower) failed(ctx context.Context, err error) {
	if errors.Is(err, platform.ErrCompacted) {
		f.r.event("history_lost", "err", err)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if f.r.knownRevision() == 0 {
		f.fetchFromSeeds(ctx)
	}
	f.nextTry = time.Now().Add(partitionedRetryInterval)
	f.r.storeSilentSince.CompareAndSwap(0, int64(bootTime()))
	f.storeLost(err)
	select {
	case <-time.After(f.retry.Pause):
	case <-f.r.catchUpNeeded:
		f.catchUp = true
	case <-ctx.Done():
	}
}

// storeLost records that the store does not answer this router. Entries may lapse from now on,
// unless others report that the store answers them.
func (f *follower) storeLost(err error) {
	if f.isOwnTimeout(err) {
		return
	}
	now := bootTime()
	f.r.mu.Lock()
	if !f.storeUnavailable || now-f.r.confirmedAt > peerSilenceLimit {
		f.r.storeLostAt = now
		f.r.roster.StoreLost()
	}
	f.r.mu.Unlock()
	if !f.storeUnavailable {
		f.storeUnavailable = true
		f.r.event("store_lost", "err", err)
	}
}

// isOwnTimeout reports whether a timeout is most likely this router's own: a saturated router
// reads answers seconds late. Treating that as an outage of the store would keep servers whose
// entries are gone because they shut down.
func (f *follower) isOwnTimeout(err error) bool {
	return f.r.load.saturated.Load() && errors.Is(err, context.DeadlineExceeded)
}

// storeAnswered records that the store answered a call of this router that was sent at the given
// reading of bootTime.
func (f *follower) storeAnswered(sent time.Duration) {
	f.r.storeSilentSince.Store(0)
	f.storeBack(false, sent)
}

// storeBack records that the store's contents are known again, from the store or from another
// router, which may report that the store was available throughout. The store answered at the
// given reading of bootTime.
func (f *follower) storeBack(sound bool, at time.Duration) {
	if !f.storeUnavailable {
		return
	}
	f.storeUnavailable = false
	f.r.event("store_back", "own", f.r.storeSilentSince.Load() == 0)
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if sound {
		f.r.roster.StoreHealthy()
	} else {
		f.r.roster.StoreBack(wallTime(at))
	}
}
