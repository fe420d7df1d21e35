package direct

import (
	"context"
	"time"

	"goldcrestport/coordination/quarantine"
)

// Times for the entries in the store by which refused requests survive a restart of all
// routers.
const (
	// refusedEntryTTL is the lifetime of an entry without a renewal: the longest that the users'
	// store allows.
	refusedEntryTTL = 10 * time.Minute
	// refusedSyncInterval is the interval between checks for entries to write or remove.
	refusedSyncInterval = time.Second
)

// applyStored applies the refused requests that are in the store. The caller holds mu.
func (r *Router) applyStored(entries []quarantine.Entry) {
	if len(entries) > 0 {
		r.quarantine.Stored(time.Now(), entries)
		r.handleQuarantineEvents()
	}
}

// syncQuarantine writes the refused requests to the store and removes those that were cleared,
// as far as this router is responsible for them. What fails is retried.
func (r *Router) syncQuarantine(ctx context.Context) {
	runEvery(ctx, refusedSyncInterval, func(now time.Time) {
		r.mu.Lock()
		keep, drop := r.quarantine.ToKeep(now, refusedEntryTTL), r.quarantine.ToDrop()
		r.mu.Unlock()
		r.storeRefused(ctx, keep)
		r.removeCleared(ctx, drop)
	})
}

func (r *Router) storeRefused(ctx context.Context, entries []quarantine.Entry) {
	for _, one := range entries {
		if !r.storeCall(ctx, callKeep, func(ctx context.Context) error { return r.source.Keep(ctx, one, refusedEntryTTL) }) {
			return
		}
		r.mu.Lock()
		r.quarantine.Kept(time.Now(), one.Content)
		r.mu.Unlock()
	}
}

func (r *Router) removeCleared(ctx context.Context, contents []quarantine.Fingerprint) {
	for _, content := range contents {
		if !r.storeCall(ctx, callDrop, func(ctx context.Context) error { return r.source.Drop(ctx, content) }) {
			return
		}
		r.mu.Lock()
		r.quarantine.Dropped(content)
		r.mu.Unlock()
	}
}

// Kinds of calls to the store, as the metric names them.
const (
	callLoad       = "load"
	callChanges    = "changes"
	callRegister   = "register"
	callKeep       = "keep_refused"
	callDrop       = "drop_refused"
	callKeepServed = "keep_versions"
	callOrigins    = "keep_origins"
)

// countStoreCall counts a call to the store by its kind and result.
func (r *Router) countStoreCall(kind string, err error) {
	if err == nil {
		r.metrics.storeCalls.Add(kind+"/ok", 1)
		return
	}
	r.metrics.storeCalls.Add(kind+"/failed", 1)
	r.metrics.storeErrors.Add(1)
}

// storeCall makes one call with a timeout and counts it. It reports whether it succeeded.
func (r *Router) storeCall(ctx context.Context, kind string, call func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := call(ctx)
	r.countStoreCall(kind, err)
	return err == nil
}
