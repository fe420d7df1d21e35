// Package roster decides which backend servers may get new work, from entries
// in the platform's store that come late, lapse and come back.
//
// A Roster is pure: it takes what the store said and the time.
//
// Direct routers use it.
package roster

import "time"

// Server is what a backend server says of itself in the store.
type Server struct {
	// ID names one life of the process.
	ID string
	// Address is IP:port. It may be used again by another server.
	Address    string
	Service    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining tells that it takes no new work and will end.
	Draining bool
}

// Config holds the times of a Roster.
type Config struct {
	// ReturnGrace is the time after the store's return in which entries that
	// lapsed while it was away may still come back. The platform promises
	// about two seconds. Default 2s.
	ReturnGrace time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config { return Config{ReturnGrace: 2 * time.Second} }

// entry is a server with what is known of its absence.
type entry struct {
	server Server
	// missing tells that the store has no entry any more; the server is kept
	// until the grace after the store's return is over.
	missing bool
}

// Change tells that a server may get work from now on, or no more.
type Change struct {
	Server Server
	Usable bool
	// Reason for the log, such as "draining".
	Reason string
}

// Reasons of changes.
const (
	ReasonJoined   = "joined"
	ReasonDraining = "draining"
	ReasonRemoved  = "removed"
	ReasonLapsed   = "lapsed"
)

// Roster holds the known servers. It must be used by one goroutine at a time.
// Invariant: a server that said that it drains never becomes usable again.
type Roster struct {
	cfg     Config
	entries map[string]*entry
	away    bool
	// graceEnd is when missing entries count as gone.
	graceEnd time.Time
}

// New returns a roster without servers.
func New(cfg Config) *Roster { return &Roster{cfg: cfg, entries: make(map[string]*entry)} }

// StoreLost notes that the store does not answer.
func (r *Roster) StoreLost() { r.away = true }

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

// Settling reports whether entries may be missing only because the store was
// away.
func (r *Roster) Settling(now time.Time) bool { return r.away || now.Before(r.graceEnd) }

// Put takes a server's entry as it was written.
func (r *Roster) Put(s Server) []Change {
	e := r.entries[s.ID]
	if e == nil {
		e = &entry{}
		r.entries[s.ID] = e
		e.server = s
		if s.Draining {
			return nil
		}
		return []Change{{Server: s, Usable: true, Reason: ReasonJoined}}
	}
	drained := e.server.Draining
	e.missing = false
	e.server = s
	e.server.Draining = s.Draining || drained
	if s.Draining && !drained {
		return []Change{{Server: s, Reason: ReasonDraining}}
	}
	return nil
}

// Remove takes the removal of a server's entry. While the store is away, and
// shortly after, the entry may only have lapsed.
func (r *Roster) Remove(now time.Time, id string) []Change {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	if !e.server.Draining && r.Settling(now) {
		e.missing = true
		return nil
	}
	return r.drop(id, ReasonRemoved)
}

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
	if r.Settling(now) {
		return nil
	}
	var changes []Change
	for id, e := range r.entries {
		if e.missing {
			changes = append(changes, r.drop(id, ReasonLapsed)...)
		}
	}
	return changes
}

// Has reports whether the server is known and not draining.
func (r *Roster) Has(id string) bool {
	e := r.entries[id]
	return e != nil && !e.server.Draining
}

func (r *Roster) drop(id, reason string) []Change {
	e := r.entries[id]
	delete(r.entries, id)
	if e.server.Draining {
		return nil
	}
	return []Change{{Server: e.server, Reason: reason}}
}
