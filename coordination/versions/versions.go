// Package versions tracks which software versions serve in each service, and which served
// a short time ago, so that a stream of one version is not resumed at a server of another.
//
// It performs no I/O and reads no clock. Direct routers use it.
package versions

import (
	"maps"
	"slices"
	"time"

	"goldcrestport/coordination/roster"
)

// Horizon is how long a version counts after its last server stopped serving: longer than a
// stream that began there can last, including the time in which its caller comes back.
const Horizon = time.Minute

// Served is a record in the store of the versions that served lately: routers that all begin anew learn from
// it whether there was more than one.
type Served struct {
	Service  string
	Versions []roster.Version
	// Only is the version at which streams have begun so far, Unsettled if it is not known, empty if they may
	// begin at each.
	Only roster.Version
	// First is the version at which they began before any other one; empty if that is not known.
	First roster.Version
}

// IsSole reports whether the service had one version only, for longer than a stream lasts. Such a record lasts
// until it is replaced.
func (s Served) IsSole() bool { return len(s.Versions) == 1 }

// Times of the records in the store.
const (
	// storeEvery is the interval at which a record is written again. Its lifetime is Horizon, from
	// the last time on.
	storeEvery = 20 * time.Second
	// storeTurn is the time after which the next router in turn writes a record that is due.
	storeTurn = time.Second
)

// History holds the versions of each service. Invariant: the count of a version is the number
// of its servers that were added and not removed.
type History struct {
	services map[string]*service
	// viewBound is for how long a router of this fleet acts on a view that is not confirmed.
	viewBound time.Duration
	// currentAt is when all that is known of the store was last known to be current.
	currentAt time.Time
	lives     lives
	// beganAt is when this router began, and registeredAt when the others could first learn of it; zero for not yet.
	beganAt, registeredAt time.Time
}

// service holds the versions of one service.
type service struct {
	uses map[roster.Version]*use
	// stored is the record in the store, known since storedAt; dueAt is since when it has to be
	// written, zero if it has not.
	stored          []roster.Version
	storedOnly      roster.Version
	storedFirst     roster.Version
	storedAt, dueAt time.Time
	// sole is the version of a service that has one, and intro the introduction of a further one.
	sole  roster.Version
	intro *introduction
}

// use says how many servers of a version serve, and until when others did.
type use struct {
	servers int
	until   time.Time
}

// New returns an empty history.
func New() *History {
	return &History{services: make(map[string]*service), viewBound: DefaultViewBound}
}

// of returns the service, which it creates if needed.
func (h *History) of(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{uses: make(map[roster.Version]*use)}
		h.services[name] = s
	}
	return s
}

// of returns the use of the version, which it creates if needed.
func (s *service) of(v roster.Version) *use {
	if s.uses[v] == nil {
		s.uses[v] = &use{}
	}
	return s.uses[v]
}

// Add records that a server of the version serves.
func (h *History) Add(service string, v roster.Version) { h.of(service).of(v).servers++ }

// Remove records that a server of the version, which was added, does not serve any more.
func (h *History) Remove(now time.Time, service string, v roster.Version) {
	s := h.of(service)
	one := s.of(v)
	one.servers = max(one.servers-1, 0)
	one.until = now
	if v == "" && one.servers == 0 {
		// A version that is not known is none that others could be taken for.
		delete(s.uses, v)
	}
}

// IsIncomplete reports whether a service has servers of known and of unknown versions: some of its
// entries were passed on by routers of a build that does not know versions.
func (h *History) IsIncomplete() bool {
	for _, s := range h.services {
		if one := s.uses[""]; one != nil && one.servers > 0 && len(s.uses) > 1 {
			return true
		}
	}
	return false
}

// Serving returns the versions that have a server now, sorted.
func (h *History) Serving(service string) []roster.Version {
	return h.versions(service, func(one *use) bool { return one.servers > 0 })
}

// Recent returns the versions that have a server or had one within the horizon, sorted.
func (h *History) Recent(now time.Time, service string) []roster.Version {
	return h.versions(service, func(one *use) bool { return one.counts(now) })
}

// IsMixed reports whether the service has, or had within the horizon, more than one version.
func (h *History) IsMixed(now time.Time, service string) bool {
	s := h.services[service]
	return s != nil && s.isMixed(now)
}

func (s *service) isMixed(now time.Time) bool {
	count := 0
	for _, one := range s.uses {
		if one.counts(now) {
			count++
		}
	}
	return count > 1
}

// Counts returns the number of servers that serve by service and version.
func (h *History) Counts() map[string]map[roster.Version]int {
	out := make(map[string]map[roster.Version]int, len(h.services))
	for name, s := range h.services {
		out[name] = make(map[roster.Version]int, len(s.uses))
		for v, one := range s.uses {
			out[name][v] = one.servers
		}
	}
	return out
}

// Mixed returns the services that have, or had within the horizon, more than one version.
func (h *History) Mixed(now time.Time) []string {
	var out []string
	for name, s := range h.services {
		if s.isMixed(now) {
			out = append(out, name)
		}
	}
	return out
}

// Services returns the services that have, or had within the horizon, any server.
func (h *History) Services() []string { return slices.Sorted(maps.Keys(h.services)) }

// Stored takes a record of the store. A router that has begun anew learns from it which versions
// served before; what it has seen itself counts by that.
func (h *History) Stored(now time.Time, record Served) {
	s := h.of(record.Service)
	s.stored, s.storedOnly, s.storedFirst, s.storedAt, s.dueAt = record.Versions, record.Only, record.First, now, time.Time{}
	if s.intro != nil && record.Only == "" && !record.IsSole() {
		s.intro.isOver = true
	}
	for _, v := range record.Versions {
		if s.uses[v] == nil {
			s.uses[v] = &use{until: now}
		}
	}
}

// Records returns the records that the store has, as far as this router knows them.
func (h *History) Records(now time.Time) []Served {
	var out []Served
	for name, s := range h.services {
		one := Served{Service: name, Versions: slices.Clone(s.stored), Only: s.storedOnly, First: s.storedFirst}
		if one.IsSole() || len(s.stored) > 0 && now.Sub(s.storedAt) < Horizon {
			out = append(out, one)
		}
	}
	return out
}

// ToStore returns the records that this router has to write now: those that are missing, incomplete or out of
// date, or old while a service has servers of several versions. Turn is this router's place in
// the order in which routers write the record of a service; 0 is first.
func (h *History) ToStore(now time.Time, turn func(service string) int) []Served {
	var out []Served
	for name, s := range h.services {
		record, isNeeded := s.record(name, h.Serving(name), now, h.viewBound)
		if !isNeeded || s.has(record, now) {
			s.dueAt = time.Time{}
			continue
		}
		if s.dueAt.IsZero() {
			s.dueAt = now
		}
		if s.isUrgent() || now.Sub(s.dueAt) >= time.Duration(turn(name))*storeTurn {
			out = append(out, record)
		}
	}
	return out
}

// covers reports whether the record in the store names all of the versions.
func (s *service) covers(all []roster.Version) bool {
	return !slices.ContainsFunc(all, func(v roster.Version) bool { return !slices.Contains(s.stored, v) })
}

// Tick forgets what lies beyond the horizon.
func (h *History) Tick(now time.Time) {
	h.lives.tick(now)
	for name, s := range h.services {
		maps.DeleteFunc(s.uses, func(_ roster.Version, one *use) bool { return !one.counts(now) })
		if len(s.uses) == 0 {
			delete(h.services, name)
		}
	}
}

// counts reports whether the version serves or served within the horizon.
func (u *use) counts(now time.Time) bool { return u.servers > 0 || now.Sub(u.until) < Horizon }

func (h *History) versions(service string, counts func(*use) bool) []roster.Version {
	s := h.services[service]
	if s == nil {
		return nil
	}
	var out []roster.Version
	for v, one := range s.uses {
		if counts(one) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}
