// Package roster decides which backend servers may get new work, from entries
// in the platform's store that come late, lapse and come back, and from what the
// servers say themselves in their answers.
//
// A Roster is pure: it takes what the store said and the time.
//
// Direct routers use it.
package roster

import "time"

// Config holds the times of a Roster.
type Config struct {
	// ReturnGrace is the time after the store's return in which entries that
	// lapsed while it was away may still come back. The platform promises
	// about two seconds. Default 2s.
	ReturnGrace time.Duration
	// FormerTime is how long the last incarnation of a server that is gone is
	// remembered, so that a write of it that comes late does not bring it back.
	// Default 1m: late writes take seconds.
	FormerTime time.Duration
	// WordTime is for how long a server gets nothing because another router said
	// that it leaves; whether it does is heard from itself then. Default 30s:
	// most servers that leave are gone by then.
	WordTime time.Duration
	// WordGap is the longest time between two words of one that goes on to be said: such a
	// word holds on after WordTime, up to WordMost. Default 5s: routers of the largest
	// fleets tell each other each 4 s.
	WordGap time.Duration
	// WordMost bounds a word that goes on to be said, as it may be wrong. Default 2m.
	WordMost time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{ReturnGrace: 2 * time.Second, FormerTime: time.Minute, WordTime: 30 * time.Second, WordGap: 5 * time.Second, WordMost: 2 * time.Minute}
}

// entry is a server with what is known of its absence.
type entry struct {
	server Server
	// missing tells that the store has no entry any more; the server is kept
	// until the grace after the store's return is over.
	missing bool
	// outlasted tells that the store had the entry after its last outage: what is gone
	// then did not lapse in that.
	outlasted bool
	// usable tells that it may get work.
	usable bool
	// toldUntil is until when it gets nothing on another router's word that it
	// leaves; zero without one. Such a word counts once.
	toldUntil time.Time
	// toldMost is until when it may hold on, toldLast when it was said last without a gap.
	toldMost, toldLast time.Time
	// told tells that it gets nothing for that now.
	told bool
}

// former is the last incarnation of a server that is gone.
type former struct {
	incarnation Incarnation
	drained     bool
	// announced tells that it said itself that it leaves.
	announced bool
	// until is when it is forgotten; zero before the next Tick.
	until time.Time
}

// Roster holds the known servers. It must be used by one goroutine at a time.
// Invariants: an incarnation that said that it drains never becomes usable again,
// none becomes usable after a later one of its id, and none is usable while its
// data centre is evacuated.
type Roster struct {
	cfg     Config
	entries map[string]*entry
	formers map[string]former
	// announced are the ids of the entries whose servers said themselves that they
	// leave, in an answer to this router.
	announced map[string]bool
	// evacuated are the data centres whose servers get nothing.
	evacuated map[string]bool
	away      bool
	// graceEnd is when missing entries count as gone.
	graceEnd time.Time
}

// New returns a roster without servers.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, entries: make(map[string]*entry), formers: make(map[string]former), announced: make(map[string]bool)}
}

// StoreLost notes that the store does not answer.
func (r *Roster) StoreLost() {
	r.away = true
	for _, e := range r.entries {
		e.outlasted = false
	}
}

// StoreBack notes that the store answers again.
func (r *Roster) StoreBack(now time.Time) {
	if !r.away {
		return
	}
	r.away = false
	r.graceEnd = now.Add(r.cfg.ReturnGrace)
}

// StoreSound notes that the store answered others all the while: what is
// missing now has left, and did not lapse.
func (r *Roster) StoreSound() { r.away, r.graceEnd = false, time.Time{} }

// Away reports whether the store answers nobody, as far as is known.
func (r *Roster) Away() bool { return r.away }

// Settling reports whether entries may be missing only because the store was
// away.
func (r *Roster) Settling(now time.Time) bool { return r.away || now.Before(r.graceEnd) }

// Put takes a server's entry as it was written. One of an incarnation before the
// known one came late and changes nothing.
func (r *Roster) Put(s Server) []Change {
	known, drained := r.latest(s.ID)
	if s.Incarnation == 0 {
		s.Incarnation = known
	}
	if s.Incarnation < known {
		return nil
	}
	var changes []Change
	if s.Incarnation > known {
		changes, drained = r.drop(s.ID, ReasonRestarted), false
	}
	return append(changes, r.put(s, drained)...)
}

// latest returns the last known incarnation under the id, and whether it said
// that it drains.
func (r *Roster) latest(id string) (Incarnation, bool) {
	if e := r.entries[id]; e != nil {
		return e.server.Incarnation, e.server.Draining
	}
	f := r.formers[id]
	return f.incarnation, f.drained
}

// put takes the entry of the last incarnation, which may have drained before.
func (r *Roster) put(s Server, drained bool) []Change {
	e := r.entries[s.ID]
	if e == nil {
		e = &entry{}
		r.entries[s.ID] = e
		r.recall(s)
	}
	s.Draining = s.Draining || drained
	e.missing, e.outlasted, e.server = false, !r.away, s
	if s.Draining {
		return e.set(false, ReasonDraining)
	}
	return e.set(r.isFree(e), ReasonJoined)
}

// isFree reports whether nothing keeps the server from getting work.
func (r *Roster) isFree(e *entry) bool {
	return !e.server.Draining && !e.told && !r.evacuated[e.server.DataCentre]
}

// set makes the server usable or not, and returns the change if it is one.
func (e *entry) set(usable bool, reason string) []Change {
	if e.usable == usable {
		return nil
	}
	e.usable = usable
	return []Change{{Server: e.server, Usable: usable, Reason: reason}}
}

// Evacuate takes the data centres whose servers may get nothing from now on; those
// that are not named any more are taken back.
func (r *Roster) Evacuate(dataCentres map[string]bool) []Change {
	r.evacuated = dataCentres
	var changes []Change
	for _, e := range r.entries {
		switch {
		case e.server.Draining:
		case dataCentres[e.server.DataCentre]:
			changes = append(changes, e.set(false, ReasonEvacuated)...)
		default:
			changes = append(changes, e.set(r.isFree(e), ReasonReturned)...)
		}
	}
	return changes
}

// Remove takes the removal of a server's entry. While the store is away, and
// shortly after, the entry may only have lapsed.
func (r *Roster) Remove(now time.Time, id string) []Change {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	if !e.server.Draining && !e.outlasted && r.Settling(now) {
		e.missing = true
		return nil
	}
	return r.drop(id, ReasonRemoved)
}

// Invalidate notes that what stands under the id cannot be used: unlike an entry
// that is missing it did not lapse.
func (r *Roster) Invalidate(id string) []Change { return r.drop(id, ReasonInvalid) }

// Replace takes a whole listing of the entries.
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
	r.forget(now)
	changes := r.endWords(now)
	if r.Settling(now) {
		return changes
	}
	for id, e := range r.entries {
		if e.missing {
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

// forget drops the incarnations that are gone for long.
func (r *Roster) forget(now time.Time) {
	for id, f := range r.formers {
		switch {
		case f.until.IsZero():
			f.until = now.Add(r.cfg.FormerTime)
			r.formers[id] = f
		case !now.Before(f.until):
			delete(r.formers, id)
		}
	}
}

// drop forgets the server's entry but not that its incarnation was here.
func (r *Roster) drop(id, reason string) []Change {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	if e.server.Incarnation != 0 || e.server.Draining {
		r.formers[id] = former{incarnation: e.server.Incarnation, drained: e.server.Draining, announced: r.announced[id]}
	}
	delete(r.entries, id)
	delete(r.announced, id)
	return e.set(false, reason)
}
