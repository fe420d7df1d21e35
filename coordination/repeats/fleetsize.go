package repeats

import (
	"time"

	"goldcrestport/coordination/turns"
)

const (
	// fleetMemory is for how long a larger number of routers counts after the last router left. It is
	// well above the time for which routers serve while they are cut off.
	fleetMemory = 10 * time.Minute
	// clockTolerance is how far the clocks of two routers may differ for a record to be believed.
	clockTolerance = time.Minute
	// settleTime is how long a record is due before it is written: routers that start together are
	// counted in one write.
	settleTime = time.Second
)

// FleetRecord is a number of routers that share an allowance, and when it stops counting. The store
// keeps one for routers that start while the entries of others have lapsed.
type FleetRecord struct {
	Routers int
	Until   time.Time
}

func (r FleetRecord) counts(now time.Time) bool { return now.Before(r.Until) }

// FleetSize is the number of routers that share an allowance. A router whose entry lapsed may only
// be cut off from the store, and go on to spend its part, so the number falls late.
type FleetSize struct {
	registered int
	// remembered is the largest number before routers left, or that of the store.
	remembered FleetRecord
	// stored is the record in the store, and dueSince when another one became due; zero if none is.
	stored   FleetRecord
	dueSince time.Time
}

// Registered records the number of routers that are registered from now on.
func (f *FleetSize) Registered(now time.Time, routers int) {
	if routers < f.registered {
		f.remembered = FleetRecord{Routers: f.Routers(now), Until: now.Add(fleetMemory)}
	}
	f.registered = routers
}

// Routers returns the number of routers that share an allowance, at least 1.
func (f *FleetSize) Routers(now time.Time) int {
	if f.remembered.counts(now) {
		return max(f.registered, f.remembered.Routers, 1)
	}
	return max(f.registered, 1)
}

// Stored takes the record that is in the store; the zero record if there is none.
func (f *FleetSize) Stored(now time.Time, record FleetRecord) {
	if !isBelieved(now, record) {
		record = FleetRecord{}
	}
	f.stored = record
	f.Told(now, record)
}

// Told takes the record of another router.
func (f *FleetSize) Told(now time.Time, record FleetRecord) {
	if !isBelieved(now, record) || !record.counts(now) || record.Routers <= f.Routers(now) {
		return
	}
	if f.remembered.counts(now) && f.remembered.Until.After(record.Until) {
		record.Until = f.remembered.Until
	}
	f.remembered = record
}

// isBelieved reports whether a router may have written the record.
func isBelieved(now time.Time, record FleetRecord) bool {
	return !record.Until.After(now.Add(fleetMemory + clockTolerance))
}

// Record returns what this router knows, for the store and for routers that start from this one.
func (f *FleetSize) Record(now time.Time) FleetRecord {
	if n := f.Routers(now); n > f.registered {
		return FleetRecord{Routers: n, Until: f.remembered.Until}
	}
	return FleetRecord{Routers: max(f.registered, 1), Until: now.Add(fleetMemory)}
}

// ToStore returns the record to write to the store, and whether it is to be written now: it is due, and
// it is this router's turn among all.
func (f *FleetSize) ToStore(now time.Time, self string, all []string) (FleetRecord, bool) {
	record := f.Record(now)
	if !f.isDue(now, record) {
		f.dueSince = time.Time{}
		return record, false
	}
	if f.dueSince.IsZero() {
		f.dueSince = now
	}
	return record, !now.Before(turns.At(f.dueSince.Add(settleTime), "fleet", self, all))
}

// isDue reports whether the store has no record that counts, a smaller number, or one that stops
// counting long before the given one. A larger number stays until it stops counting.
func (f *FleetSize) isDue(now time.Time, record FleetRecord) bool {
	if !f.stored.counts(now) || record.Routers > f.stored.Routers {
		return true
	}
	return record.Routers == f.stored.Routers && record.Until.Sub(f.stored.Until) > fleetMemory/2
}
