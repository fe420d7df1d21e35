package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/versions"
)

const (
	// servedSyncInterval is the interval between checks for records of versions to write.
	servedSyncInterval = 100 * time.Millisecond
	// servedRetryPause is the pause after a write that failed.
	servedRetryPause = 500 * time.Millisecond
)

// applyServed applies the records of versions that are in the store. The caller holds mu.
func (r *Router) applyServed(records []versions.Served) {
	for _, one := range records {
		r.versions.Stored(time.Now(), one)
	}
}

// syncServed writes to the store which versions serve side by side, as far as it is this router's
// turn. What fails is retried after a pause.
func (r *Router) syncServed(ctx context.Context) {
	var pausedUntil time.Time
	runEvery(ctx, servedSyncInterval, func(now time.Time) {
		if now.Before(pausedUntil) {
			return
		}
		r.mu.Lock()
		due := r.versions.ToStore(now, r.turnOf)
		r.mu.Unlock()
		for _, one := range due {
			if !r.storeCall(ctx, callKeepServed, func(ctx context.Context) error { return r.source.KeepServed(ctx, one, lifeOf(one)) }) {
				pausedUntil = time.Now().Add(servedRetryPause)
				return
			}
			r.mu.Lock()
			r.versions.Stored(time.Now(), one)
			r.mu.Unlock()
			r.event("versions_stored", "service", one.Service, "versions", joinVersions(one.Versions), "only", one.Only)
		}
	})
}

// lifeOf returns how long the store keeps the record unless it is written again; 0: until it is replaced.
func lifeOf(record versions.Served) time.Duration {
	if record.IsSole() {
		return 0
	}
	return versions.Horizon
}

// turnOf returns this router's place in the order in which routers write the record of a service. The
// caller holds mu.
func (r *Router) turnOf(service string) int {
	all := r.routers()
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(service+"/"+a), xxhash.Sum64String(service+"/"+b))
	})
	return slices.Index(all, r.set.ID)
}
