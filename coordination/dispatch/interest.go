package dispatch

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// repairAfter is the age of a registration after which a sidecar that still
// reports room is taken not to know of it.
const repairAfter = 100 * time.Millisecond

// mostDoublings bounds the widening by wait; a pool is never larger.
const mostDoublings = 16

// registration is what one sidecar was told of a queue.
type registration struct {
	count  int
	spread int
	sent   time.Time
}

// announce tells sidecars of a queue that has just grown: a first subset of
// the pool if it was empty, else those that know a count too small, as far as
// the budget goes; the others are told at the next look.
func (s *State) announce(now time.Time, q *queue) {
	s.cover(now, q, coverage{sidecars: s.cfg.Interest.Subset})
	for _, c := range s.order(q) {
		r := q.seen[c.id]
		if r == nil || r.count >= q.len() {
			continue
		}
		if !s.pace.take(now) {
			return
		}
		s.register(now, q, c)
	}
}

// coverage is how much of the pool a queue has to be registered with.
type coverage struct {
	sidecars int
	slots    float64
	// paced waits for the budget of messages that may wait.
	paced bool
}

// cover registers the queue with the first sidecars of its order until the
// coverage is reached.
func (s *State) cover(now time.Time, q *queue, want coverage) {
	var fresh []*peer
	sidecars, slots := 0, 0
	for _, c := range s.order(q) {
		if sidecars >= want.sidecars && float64(slots) >= want.slots {
			break
		}
		if !c.open() {
			continue
		}
		sidecars++
		slots += c.slots
		if q.seen[c.id] != nil {
			continue
		}
		if want.paced && !s.pace.take(now) {
			break
		}
		q.seen[c.id] = &registration{}
		fresh = append(fresh, c)
	}
	for _, c := range fresh {
		s.register(now, q, c)
	}
}

// coverAll registers the waiting work of a pool whose membership changed.
func (s *State) coverAll(now time.Time, p *pool) {
	if s.cfg.Policy != PolicyPull {
		return
	}
	for _, q := range p.active {
		if q.len() > 0 {
			s.cover(now, q, coverage{sidecars: s.cfg.Interest.Subset})
		}
	}
}

// offerInterest tells a sidecar that reports room of all that waits, also
// outside the subsets, so that it does not idle beside waiting work.
func (s *State) offerInterest(now time.Time, p *pool, c *peer) {
	if s.cfg.Policy != PolicyPull || c.free <= 0 || !c.open() {
		return
	}
	for _, q := range p.active {
		if q.len() == 0 {
			continue
		}
		if r := q.seen[c.id]; r == nil || now.Sub(r.sent) >= repairAfter {
			s.register(now, q, c)
		}
	}
}

// register tells one sidecar what waits.
func (s *State) register(now time.Time, q *queue, c *peer) {
	r := q.seen[c.id]
	if r == nil {
		r = &registration{}
		q.seen[c.id] = r
	}
	if !r.fits(q.len()) {
		r.count = roundUp(q.len())
	}
	r.spread, r.sent = len(q.seen), now
	s.stats.Interests++
	s.emit(Register{Sidecar: c.id, Team: q.team, Count: r.count, Oldest: q.wait(now), Spread: r.spread})
}

// fits reports whether the count told still stands for n waiting requests.
func (r *registration) fits(n int) bool { return n <= r.count && n > r.count/4 }

// withdraw tells one sidecar that nothing waits any more.
func (s *State) withdraw(q *queue, c *peer) {
	delete(q.seen, c.id)
	s.stats.Interests++
	s.emit(Register{Sidecar: c.id, Team: q.team})
}

// forget withdraws all that a sidecar was told, when it leaves or is ejected.
func (s *State) forget(p *pool, c *peer) {
	for _, q := range p.active {
		if q.seen[c.id] != nil {
			s.withdraw(q, c)
		}
	}
}

// roundUp returns the next power of two, so that a count is told again only
// when it has changed by a factor.
func roundUp(n int) int {
	if n <= 1 {
		return n
	}
	return 1 << bits.Len(uint(n-1))
}

// order returns the pool's sidecars in an order of the team's own, which a
// change of membership hardly changes (rendezvous hashing).
func (s *State) order(q *queue) []*peer {
	if q.version == q.pool.version {
		return q.order
	}
	type ranked struct {
		peer *peer
		rank uint64
	}
	all := make([]ranked, 0, len(q.pool.peers))
	for _, c := range q.pool.peers {
		all = append(all, ranked{c, s.rank(q.team, c.id)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank != b.rank && a.rank < b.rank {
			return -1
		}
		if a.rank != b.rank {
			return 1
		}
		return strings.Compare(a.peer.id, b.peer.id)
	})
	q.order = q.order[:0]
	for _, r := range all {
		q.order = append(q.order, r.peer)
	}
	q.version = q.pool.version
	return q.order
}

func (s *State) rank(team, sidecar string) uint64 {
	d := xxhash.NewWithSeed(s.cfg.Seed)
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(sidecar)
	return d.Sum64()
}

// maintainPool widens, repeats and withdraws registrations within the budget.
func (s *State) maintainPool(now time.Time, p *pool) {
	s.probeInterest(now, p)
	if s.cfg.Policy != PolicyPull {
		return
	}
	slots, shares := 0, 0.0
	for _, c := range p.peers {
		if c.open() {
			slots += c.slots
		}
	}
	for _, q := range p.active {
		if q.len() > 0 {
			shares += s.share(q.team)
		}
	}
	for _, q := range p.active {
		if q.len() == 0 {
			s.withdrawIdle(now, q)
			continue
		}
		fair := float64(slots) * s.share(q.team) / shares
		s.widen(now, q, fair)
		s.repeat(now, q)
	}
}

// widen extends the subset with the wait of the oldest request, and until it
// holds more slots than the team's fair share. The share is taken among the
// teams that wait at this router, which is too much rather than too little.
func (s *State) widen(now time.Time, q *queue, fair float64) {
	wait := q.wait(now)
	if wait < s.cfg.Interest.WidenEvery {
		return
	}
	doublings := min(int(wait/s.cfg.Interest.WidenEvery), mostDoublings)
	s.cover(now, q, coverage{
		sidecars: s.cfg.Interest.Subset << doublings,
		slots:    s.cfg.Interest.Slack * fair,
		paced:    true,
	})
}

// repeat registers again where the count or the spread changed much, or the
// registration is old.
func (s *State) repeat(now time.Time, q *queue) {
	for _, c := range s.order(q) {
		r := q.seen[c.id]
		if r == nil {
			continue
		}
		spread := 4*len(q.seen) > 5*r.spread
		old := now.Sub(r.sent) >= s.cfg.Interest.RefreshEvery
		if r.fits(q.len()) && !spread && !old {
			continue
		}
		if !s.pace.take(now) {
			return
		}
		s.register(now, q, c)
	}
}

// withdrawIdle withdraws a queue that stays empty. A short empty spell keeps
// the registrations; a pull that comes meanwhile is answered with Empty.
func (s *State) withdrawIdle(now time.Time, q *queue) {
	if len(q.seen) == 0 || now.Sub(q.emptied) < s.cfg.Interest.WithdrawAfter {
		return
	}
	for _, c := range s.order(q) {
		if q.seen[c.id] == nil {
			continue
		}
		if !s.pace.take(now) {
			return
		}
		s.withdraw(q, c)
	}
}
