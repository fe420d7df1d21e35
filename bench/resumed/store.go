package resumed

import (
	"maps"
	"slices"
	"time"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
)

// Times of the store and of those that use it.
const (
	storeLagMin, storeLagMax = 20 * time.Millisecond, 300 * time.Millisecond
	// storeTimeout is after which a router knows that the store is away, storeRetry after which it
	// notices that it is back.
	storeTimeout = 800 * time.Millisecond
	storeRetry   = 150 * time.Millisecond
	// registerInterval is the interval at which routers write their entries, registerLife how long
	// one lasts.
	registerInterval, registerLife = 3 * time.Second, 9 * time.Second
)

// store holds what servers and routers have written.
type store struct {
	w       *world
	away    bool
	awayAt  time.Duration
	entries map[string]stored
	// routers maps the registered ones to when their entries lapse, lives to the processes that wrote them.
	routers map[string]time.Duration
	lives   map[string]versions.Life
	// members counts the changes of the registered routers, and handedOver are the processes that handed over what they
	// knew.
	members    uint64
	handedOver map[versions.Life]bool
	served     *versions.Served
	// origins are the entries with origins that routers wrote, by router and segment.
	origins map[string]storedOrigins
}

type stored struct {
	server roster.Server
	lapses time.Duration
}

// storedOrigins is an entry with the origins of streams.
type storedOrigins struct {
	origin.Stored
	lapses time.Duration
}

func newStore(w *world) *store {
	return &store{w: w, entries: map[string]stored{}, routers: map[string]time.Duration{}, lives: map[string]versions.Life{}, handedOver: map[versions.Life]bool{}, origins: map[string]storedOrigins{}}
}

// write writes the entry of a server, and passes what is new on to the routers.
func (s *store) write(entry roster.Server) {
	if s.away {
		return
	}
	before, known := s.entries[entry.ID]
	s.entries[entry.ID] = stored{entry, s.w.now + entryLife}
	if known && before.server == entry {
		return
	}
	s.pass(func(r *router) {
		r.apply(r.roster.Put(entry))
		r.versions.Review(r.w.wall())
	})
}

// remove removes the entry of a server.
func (s *store) remove(id string) {
	if s.away {
		return
	}
	if _, known := s.entries[id]; !known {
		return
	}
	delete(s.entries, id)
	s.pass(func(r *router) {
		r.apply(r.roster.Remove(s.w.wall(), id))
		r.versions.Review(r.w.wall())
	})
}

// pass lets each router do something after the delay of a watch.
func (s *store) pass(do func(*router)) {
	for _, r := range s.w.routers {
		s.w.after(s.w.between(storeLagMin, storeLagMax), func() {
			if !s.away {
				r.do(smallCost, func() { do(r) })
			}
		})
	}
}

// tick removes entries that lapsed.
func (s *store) tick() {
	if s.away {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		if s.w.now > s.entries[id].lapses {
			s.remove(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.routers)) {
		if s.w.now > s.routers[id] {
			s.unregister(id)
		}
	}
	maps.DeleteFunc(s.origins, func(_ string, one storedOrigins) bool { return s.w.now > one.lapses })
}

// registered returns the process that is registered for the router; 0 for none.
func (s *store) registered(id string) versions.Life {
	if _, is := s.routers[id]; !is {
		return 0
	}
	return s.lives[id]
}

// register writes the entry of a router's process.
func (s *store) register(id string, life versions.Life) {
	former := s.registered(id)
	s.routers[id], s.lives[id] = s.w.now+registerLife, life
	if former == life {
		return
	}
	s.passMembers(func(r *router) {
		if former != 0 {
			r.versions.RouterEnded(r.w.wall(), former)
		}
	})
}

// unregister removes the entry of a router.
func (s *store) unregister(id string) {
	delete(s.routers, id)
	s.passMembers(func(r *router) {
		if r.id != id {
			r.versions.RouterGone(r.w.wall())
		}
	})
}

// account writes that a process of a router has handed over what it knew.
func (s *store) account(life versions.Life) {
	s.handedOver[life] = true
	s.pass(func(r *router) { r.versions.Account(r.w.wall(), life) })
}

// passMembers lets the routers know of a change of those that are registered, as late as they can learn of it.
func (s *store) passMembers(do func(*router)) {
	s.members++
	at := s.members
	for _, r := range s.w.routers {
		s.w.after(storeLagMax, func() {
			if !s.away {
				r.do(smallCost, func() {
					do(r)
					r.members = max(r.members, at)
				})
			}
		})
	}
}

// list returns the entries that have not lapsed, by id.
func (s *store) list() []roster.Server {
	var out []roster.Server
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		if one := s.entries[id]; s.w.now <= one.lapses {
			out = append(out, one.server)
		}
	}
	return out
}

// goAway makes the store answer nobody for the time.
func (s *store) goAway(d time.Duration) {
	if s.away {
		return
	}
	s.away, s.awayAt = true, s.w.now
	s.w.after(storeTimeout, func() {
		for _, r := range s.w.routers {
			r.do(smallCost, func() { r.storeLost() })
		}
	})
	s.w.after(d, func() {
		s.away = false
		for _, r := range s.w.routers {
			s.w.after(s.w.between(0, storeRetry), func() { r.do(smallCost, func() { r.storeBack() }) })
		}
	})
}
