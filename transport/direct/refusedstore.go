package direct

import (
	"context"
	"time"

	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
)

// Times for the entries in the store by which refused requests survive a restart of all
// routers.
const (
	// refusedEntryTTL is the lifetime of an entry without a renewal: the longest that the users'
	// store allows.
	refusedEntryTTL = 10 * time.Minute
	// refusedSyncInterval is the interval between checks for entries to write or remove. Refusals of
	// the last interval are forgotten if all routers are killed.
	refusedSyncInterval = 200 * time.Millisecond
	// refusedRetryPause is the pause after a call that failed.
	refusedRetryPause = time.Second
)

// applyStored applies the refused requests that are in the store; isNew is set if they were written
// just now. The caller holds mu.
func (r *Router) applyStored(entries []quarantine.Entry, isNew bool) {
	if len(entries) > 0 {
		r.quarantine.Stored(time.Now(), entries, isNew)
		r.handleQuarantineEvents()
	}
}

// syncQuarantine writes the refused requests and sets of parts to the store and removes those that
// were cleared, as far as this router is responsible for them. What fails is retried after a pause.
func (r *Router) syncQuarantine(ctx context.Context) {
	var pausedUntil time.Time
	runEvery(ctx, refusedSyncInterval, func(now time.Time) {
		if now.Before(pausedUntil) {
			return
		}
		r.mu.Lock()
		r.explainCrashes()
		keep, drop := r.quarantine.ToKeep(now, refusedEntryTTL), r.quarantine.ToDrop()
		r.mu.Unlock()
		if !r.storeRefused(ctx, keep) || !r.removeCleared(ctx, drop) || !r.syncParts(ctx, now) {
			pausedUntil = time.Now().Add(refusedRetryPause)
		}
	})
}

// storeRefused reports whether all were written.
func (r *Router) storeRefused(ctx context.Context, entries []quarantine.Entry) bool {
	for _, one := range entries {
		if !r.storeCall(ctx, callKeep, func(ctx context.Context) error { return r.source.Keep(ctx, one, refusedEntryTTL) }) {
			return false
		}
		r.mu.Lock()
		r.quarantine.Kept(time.Now(), one)
		r.mu.Unlock()
	}
	return true
}

// removeCleared reports whether all were removed.
func (r *Router) removeCleared(ctx context.Context, contents []quarantine.Fingerprint) bool {
	for _, content := range contents {
		if !r.storeCall(ctx, callDrop, func(ctx context.Context) error { return r.source.Drop(ctx, content) }) {
			return false
		}
		r.mu.Lock()
		r.quarantine.Dropped(content)
		r.mu.Unlock()
	}
	return true
}

// applyStoredParts applies the refused sets of parts that are in the store; isNew is set if they were
// written just now. The caller holds mu.
func (r *Router) applyStoredParts(entries []partquarantine.Entry, isNew bool) {
	if len(entries) > 0 {
		r.parts.Stored(time.Now(), entries, isNew)
		r.handleQuarantineEvents()
	}
}

// applyReleasedParts records the sets that were removed from the store. The caller holds mu.
func (r *Router) applyReleasedParts(sets []partquarantine.SetID) {
	for _, id := range sets {
		r.parts.WasRemoved(id)
	}
}

// syncParts writes the refused sets of parts to the store, in turn with the other routers, and removes
// those that are refused no more. It reports whether all calls succeeded.
func (r *Router) syncParts(ctx context.Context, now time.Time) bool {
	r.mu.Lock()
	keep, drop := r.parts.ToStore(now, refusedEntryTTL), r.parts.ToRemove(now)
	r.mu.Unlock()
	for _, one := range keep {
		if !r.storeCall(ctx, callKeepParts, func(ctx context.Context) error { return r.source.KeepParts(ctx, one, refusedEntryTTL) }) {
			return false
		}
		r.mu.Lock()
		r.parts.WasStored(time.Now(), one)
		r.mu.Unlock()
		r.event("parts_stored", "parts", writeParts(one.Parts), "probes", one.Probes+one.Partial, "life_ms", time.Since(r.startedAt).Milliseconds())
	}
	for _, id := range drop {
		if !r.storeCall(ctx, callDropParts, func(ctx context.Context) error { return r.source.DropParts(ctx, id) }) {
			return false
		}
		r.mu.Lock()
		r.parts.WasRemoved(id)
		r.mu.Unlock()
	}
	return true
}

// Kinds of calls to the store, as the metric names them.
const (
	callLoad       = "load"
	callChanges    = "changes"
	callRegister   = "register"
	callKeep       = "keep_refused"
	callDrop       = "drop_refused"
	callKeepParts  = "keep_parts"
	callDropParts  = "drop_parts"
	callKeepServed = "keep_versions"
	// callKeepHandedOver is the call that writes that this router's process has handed over what it knows.
	callKeepHandedOver = "keep_handed_over"
	callKeepFleet      = "keep_fleet"
	callOrigins        = "keep_origins"
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
