package roster

import "time"

// StoreLost records that the store does not answer.
func (r *Roster) StoreLost() {
	r.storeLost = true
	for _, e := range r.entries {
		e.seenSinceOutage = false
	}
}

// StoreBack records that the store answers again.
func (r *Roster) StoreBack(now time.Time) {
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.graceEnd = now.Add(r.cfg.ReturnGrace)
}

// StoreHealthy records that the store answered other routers throughout: an entry that is
// missing now was removed, and did not lapse.
func (r *Roster) StoreHealthy() { r.storeLost, r.graceEnd = false, time.Time{} }

// StoreUnavailable reports whether the store answers no router, as far as is known.
func (r *Roster) StoreUnavailable() bool { return r.storeLost }

// Settling reports whether entries may be missing only because of an outage of the store.
func (r *Roster) Settling(now time.Time) bool { return r.storeLost || now.Before(r.graceEnd) }
