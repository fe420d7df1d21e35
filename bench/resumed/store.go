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
	lives   map[string]int
	served  *versions.Served
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
	return &store{w: w, entries: map[string]stored{}, routers: map[string]time.Duration{}, lives: map[string]int{}, origins: map[string]storedOrigins{}}
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

// register writes the entry of a router's process.
func (s *store) register(id string, life int) {
	if _, isKnown := s.routers[id]; isKnown && s.lives[id] != life {
		s.passEnd(id)
	}
	s.routers[id], s.lives[id] = s.w.now+registerLife, life
}

// unregister removes the entry of a router.
func (s *store) unregister(id string) {
	delete(s.routers, id)
	s.passEnd(id)
}

// passEnd lets the other routers know that the process of one ended, as late as they can learn of it.
func (s *store) passEnd(id string) {
	for _, r := range s.w.routers {
		s.w.after(storeLagMax, func() {
			if !s.away && r.id != id {
				r.do(smallCost, func() { r.versions.RouterEnded(r.w.wall()) })
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
