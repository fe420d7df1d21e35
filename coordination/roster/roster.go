// Package roster decides which backend servers may get new requests. It uses their entries
// in the platform's store, which arrive late, lapse and come back, and what the servers say
// in their answers.
//
// A Roster performs no I/O: it takes the contents of the store and the time as arguments.
//
// Direct routers use it.
package roster

import "time"

// Config holds the times of a Roster.
type Config struct {
	// ReturnGrace is the time after the store's return in which entries that lapsed during
	// the outage may still come back. The platform promises about two seconds. Default 2s.
	ReturnGrace time.Duration
	// FormerTTL is how long the last incarnation of a removed server is remembered, so that
	// a late write of it does not bring it back. Default 1m: late writes take seconds.
	FormerTTL time.Duration
	// ReportTTL is for how long a server gets no requests because another router reported
	// its shutdown; by then the server itself should have confirmed it. Default 30s: most
	// servers that shut down are gone by then.
	ReportTTL time.Duration
	// ReportGap is the longest time between two reports of a repeated one: a repeated report
	// counts beyond ReportTTL, up to ReportMaxTTL. Default 5s: routers of the largest fleets
	// send their digests every 4 s.
	ReportGap time.Duration
	// ReportMaxTTL bounds a repeated report, which may be wrong. Default 2m.
	ReportMaxTTL time.Duration
	// LapseTTL is for how long a server whose entry lapsed in an outage of the store, or shortly after, may
	// come back. Default 4s: three heartbeats of a second and the way to the store and back.
	LapseTTL time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{ReturnGrace: 2 * time.Second, FormerTTL: time.Minute, ReportTTL: 30 * time.Second, ReportGap: 5 * time.Second, ReportMaxTTL: 2 * time.Minute, LapseTTL: 4 * time.Second}
}

// entry is a server with the state of its entry in the store and of other routers' reports.
type entry struct {
	server Server
	// missing is true if the store no longer has the entry; the server is kept until the
	// grace after the store's return is over.
	missing bool
	// seenSinceOutage is true if the store had the entry after its last outage: if the entry
	// disappears later, it did not lapse in that outage.
	seenSinceOutage bool
	// usable is true if the server may get requests.
	usable bool
	// reportedUntil is until when the server gets no requests because another router
	// reported its shutdown; zero without a report. A report counts once.
	reportedUntil time.Time
	// reportDeadline is until when a repeated report may count, lastReport when it was last
	// repeated without a gap.
	reportDeadline, lastReport time.Time
	// reported is true if the server gets no requests for that reason now.
	reported bool
}

// former is the last incarnation of a removed server.
type former struct {
	incarnation Incarnation
	// version of its software, and revision of its last entry.
	version  Version
	revision uint64
	drained  bool
	// announced is true if the server itself announced its shutdown.
	announced bool
	// until is when the record is dropped; zero before the next Tick.
	until time.Time
}

// Roster holds the known servers. It must be used by one goroutine at a time. Invariants:
// an incarnation that announced that it drains never becomes usable again, none becomes
// usable after a later one of its id, and none is usable while its data centre is
// evacuated.
type Roster struct {
	cfg     Config
	entries map[string]*entry
	formers map[string]former
	// lapsed are the servers whose entries lapsed and may come back.
	lapsed map[string]lapse
	// announced are the ids of the entries whose servers announced their shutdown in an
	// answer to this router.
	announced map[string]bool
	// evacuated are the data centres whose servers get no requests.
	evacuated map[string]bool
	storeLost bool
	// graceEnd is when missing entries count as removed.
	graceEnd time.Time
}

// New returns a roster without servers.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, entries: make(map[string]*entry), formers: make(map[string]former), lapsed: make(map[string]lapse), announced: make(map[string]bool)}
}

// Put takes a server's entry as it was written. An entry of an incarnation before the known
// one, or of the same that another software version wrote before, was delivered late and changes
// nothing.
func (r *Roster) Put(s Server) []Change {
	known, drained := r.latest(s.ID)
	if s.Incarnation == 0 {
		s.Incarnation = known
	}
	if s.Incarnation < known {
		return nil
	}
	if s.Incarnation > known {
		return append(r.drop(s.ID, ReasonRestarted), r.putLatest(s, false)...)
	}
	version, revision := r.latestVersion(s.ID)
	switch {
	case s.Version == "":
		// A router of a build that does not know versions passed the entry on.
		s.Version = version
	case version == "" && r.entries[s.ID] != nil:
		return r.putVersion(s, drained)
	case version == "" || version == s.Version:
	case s.Revision < revision:
		return nil
	default:
		return r.putOtherVersion(s)
	}
	return r.putLatest(s, drained)
}

// latest returns the last known incarnation under the id, and whether it drained.
func (r *Roster) latest(id string) (Incarnation, bool) {
	if e := r.entries[id]; e != nil {
		return e.server.Incarnation, e.server.Draining
	}
	f := r.formers[id]
	return f.incarnation, f.drained
}

// putLatest takes the entry of the last incarnation, which may have drained before.
func (r *Roster) putLatest(s Server, drained bool) []Change {
	e := r.entries[s.ID]
	if e == nil {
		e = &entry{}
		r.entries[s.ID] = e
		r.restoreFormer(s)
	}
	s.Draining = s.Draining || drained
	delete(r.lapsed, s.ID)
	e.missing, e.seenSinceOutage, e.server = false, !r.storeLost, s
	if s.Draining {
		return e.setUsable(false, ReasonDraining)
	}
	return e.setUsable(r.mayBeUsed(e), ReasonJoined)
}

// mayBeUsed reports whether nothing keeps the server from getting requests.
func (r *Roster) mayBeUsed(e *entry) bool {
	return !e.server.Draining && !e.reported && !r.evacuated[e.server.DataCentre]
}

// setUsable sets whether the server is usable, and returns the change if there is one.
func (e *entry) setUsable(usable bool, reason string) []Change {
	if e.usable == usable {
		return nil
	}
	e.usable = usable
	return []Change{{Server: e.server, Usable: usable, Reason: reason}}
}

// Evacuate sets the data centres whose servers get no requests from now on; the evacuation
// of those that are no longer named is revoked.
func (r *Roster) Evacuate(dataCentres map[string]bool) []Change {
	r.evacuated = dataCentres
	var changes []Change
	for _, e := range r.entries {
		switch {
		case e.server.Draining:
		case dataCentres[e.server.DataCentre]:
			changes = append(changes, e.setUsable(false, ReasonEvacuated)...)
		default:
			changes = append(changes, e.setUsable(r.mayBeUsed(e), ReasonReturned)...)
		}
	}
	return changes
}

// Remove takes the removal of a server's entry. During an outage of the store, and shortly
// after, the entry may only have lapsed.
func (r *Roster) Remove(now time.Time, id string) []Change {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	if !e.server.Draining && !e.seenSinceOutage && r.Settling(now) {
		e.missing = true
		return nil
	}
	if r.Settling(now) {
		r.recordLapse(now, e)
	}
	return r.drop(id, ReasonRemoved)
}

// Invalidate records that the entry under the id cannot be used: unlike a missing entry, it
// did not lapse.
func (r *Roster) Invalidate(id string) []Change { return r.drop(id, ReasonInvalid) }

// Replace takes a full listing of the entries.
func (r *Roster) Replace(now time.Time, all []Server) []Change {
	var changes []Change
	listed := make(map[string]bool, len(all))
	for _, s := range all {
		listed[s.ID] = true
		changes = append(changes, r.Put(s)...)
	}
	for id := range r.entries {
		if !listed[id] {
			changes = append(changes, r.Remove(now, id)...)
		}
	}
	return changes
}

// Tick drops the servers that did not come back in time.
func (r *Roster) Tick(now time.Time) []Change {
	r.expireFormers(now)
	r.expireLapses(now)
	changes := r.expireReports(now)
	if r.Settling(now) {
		return changes
	}
	for id, e := range r.entries {
		if e.missing {
			r.recordLapse(now, e)
			changes = append(changes, r.drop(id, ReasonLapsed)...)
		}
	}
	return changes
}

// Missing returns the number of servers that are kept though they have no entry.
func (r *Roster) Missing() int {
	n := 0
	for _, e := range r.entries {
		if e.missing {
			n++
		}
	}
	return n
}

// Has reports whether the server is known and not draining.
func (r *Roster) Has(id string) bool {
	e := r.entries[id]
	return e != nil && !e.server.Draining
}

// expireFormers drops the incarnations that were removed long ago.
func (r *Roster) expireFormers(now time.Time) {
	for id, f := range r.formers {
		switch {
		case f.until.IsZero():
			f.until = now.Add(r.cfg.FormerTTL)
			r.formers[id] = f
		case !now.Before(f.until):
			delete(r.formers, id)
		}
	}
}

// drop removes the server but remembers its incarnation.
func (r *Roster) drop(id, reason string) []Change {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	if e.server.Incarnation != 0 || e.server.Draining {
		r.formers[id] = former{incarnation: e.server.Incarnation, version: e.server.Version, revision: e.server.Revision, drained: e.server.Draining, announced: r.announced[id]}
	}
	delete(r.entries, id)
	delete(r.announced, id)
	return e.setUsable(false, reason)
}
