package direct

import (
	"context"
	"time"

	"goldcrestport/coordination/repeats"
)

const (
	// fleetSyncInterval is the interval between checks whether the number of routers is to be written.
	fleetSyncInterval = 500 * time.Millisecond
	// fleetRetryPause is the pause after a write that failed.
	fleetRetryPause = 5 * time.Second
)

// readFleet takes the number of routers that was read in the store; nil if there is none.
func (r *Router) readFleet(record *repeats.FleetRecord) {
	if record == nil {
		record = &repeats.FleetRecord{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleetSize.Stored(time.Now(), *record)
}

// mergeFleet takes the number of routers that another router knows; nil from a build that does not send
// it.
func (r *Router) mergeFleet(record *repeats.FleetRecord) {
	if record == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleetSize.Told(time.Now(), *record)
}

// syncFleet writes to the store how many routers share retries, for routers that start while entries have
// lapsed, as far as it is this router's turn. What fails is retried after a pause.
func (r *Router) syncFleet(ctx context.Context) {
	var pausedUntil time.Time
	runEvery(ctx, fleetSyncInterval, func(now time.Time) {
		if now.Before(pausedUntil) || r.knownRevision() == 0 {
			return
		}
		r.mu.Lock()
		record, due := r.fleetSize.ToStore(now, r.set.ID, r.routers())
		r.mu.Unlock()
		if due && !r.storeFleet(ctx, record) {
			pausedUntil = time.Now().Add(fleetRetryPause)
		}
	})
}

// storeFleet reports whether the record was written.
func (r *Router) storeFleet(ctx context.Context, record repeats.FleetRecord) bool {
	if !r.storeCall(ctx, callKeepFleet, func(ctx context.Context) error { return r.source.KeepFleet(ctx, record) }) {
		return false
	}
	r.mu.Lock()
	r.fleetSize.Stored(time.Now(), record)
	r.mu.Unlock()
	r.event("fleet_stored", "routers", record.Routers, "until", record.Until.UTC().Format(time.RFC3339), "life_ms", time.Since(r.startedAt).Milliseconds())
	return true
}
