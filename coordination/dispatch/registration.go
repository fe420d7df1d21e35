package dispatch

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// repairAfter is the age of a registration after which a sidecar that still
// reports free slots is assumed to have lost it.
const repairAfter = 100 * time.Millisecond

// maxDoublings limits how often the subset is doubled. No pool is larger than
// the resulting subset.
const maxDoublings = 16

// sentRegistration is the last Register sent to one sidecar for a queue.
type sentRegistration struct {
	count  int
	spread int
	sent   time.Time
}

// registerGrowth registers a queue to which a request was just added: with the
// first subset of the pool, and again with sidecars whose registered count is
// now too small. The latter stops when the message budget is exhausted; the
// remaining ones follow at the next maintenance.
func (s *State) registerGrowth(now time.Time, q *queue) {
	s.cover(now, q, coverage{sidecars: s.cfg.Registration.Subset})
	for _, sc := range s.sidecarOrder(q) {
		r := q.registrations[sc.id]
		if r == nil || r.count >= q.len() {
			continue
		}
		if !s.messageBudget.take(now) {
			return
		}
		s.register(now, q, sc)
	}
}

// coverage is the minimum number of sidecars and slots with which a queue is to
// be registered.
type coverage struct {
	sidecars int
	slots    float64
	// budgeted limits the messages by the budget for deferrable messages.
	budgeted bool
}

// cover registers the queue with the first available sidecars of its order until
// the coverage is reached.
func (s *State) cover(now time.Time, q *queue, want coverage) {
	var added []*sidecar
	sidecars, slots := 0, 0
	for _, sc := range s.sidecarOrder(q) {
		if sidecars >= want.sidecars && float64(slots) >= want.slots {
			break
		}
		if !sc.available() {
			continue
		}
		sidecars++
		slots += sc.slots
		if q.registrations[sc.id] != nil {
			continue
		}
		if want.budgeted && !s.messageBudget.take(now) {
			break
		}
		q.registrations[sc.id] = &sentRegistration{}
		added = append(added, sc)
	}
	for _, sc := range added {
		s.register(now, q, sc)
	}
}

// coverPool registers the queued work of a pool after a change of its available
// sidecars.
func (s *State) coverPool(now time.Time, p *pool) {
	if s.cfg.Policy != PolicyPull {
		return
	}
	for _, q := range p.active {
		if q.len() > 0 {
			s.cover(now, q, coverage{sidecars: s.cfg.Registration.Subset})
		}
	}
}

// registerAll registers every queue of the pool with a sidecar that reports free
// slots, even if it is not in the queue's subset, so that it does not stay idle
// while work is queued.
func (s *State) registerAll(now time.Time, p *pool, sc *sidecar) {
	if s.cfg.Policy != PolicyPull || sc.free <= 0 || !sc.available() {
		return
	}
	for _, q := range p.active {
		if q.len() == 0 {
			continue
		}
		if r := q.registrations[sc.id]; r == nil || now.Sub(r.sent) >= repairAfter {
			s.register(now, q, sc)
		}
	}
}

// register sends one sidecar the current state of a queue.
func (s *State) register(now time.Time, q *queue, sc *sidecar) {
	r := q.registrations[sc.id]
	if r == nil {
		r = &sentRegistration{}
		q.registrations[sc.id] = r
	}
	if !r.fits(q.len()) {
		r.count = roundUp(q.len())
	}
	r.spread, r.sent = len(q.registrations), now
	s.stats.Registrations++
	s.emit(Register{Sidecar: sc.id, Team: q.team, Count: r.count, Oldest: q.oldestWait(now), Spread: r.spread})
}

// fits reports whether the registered count is still accurate enough for n
// queued requests.
func (r *sentRegistration) fits(n int) bool { return n <= r.count && n > r.count/4 }

// withdraw ends the registration of a queue with one sidecar.
func (s *State) withdraw(q *queue, sc *sidecar) {
	delete(q.registrations, sc.id)
	s.stats.Registrations++
	s.emit(Register{Sidecar: sc.id, Team: q.team})
}

// withdrawAll withdraws all registrations with a sidecar that is draining or
// ejected.
func (s *State) withdrawAll(p *pool, sc *sidecar) {
	for _, q := range p.active {
		if q.registrations[sc.id] != nil {
			s.withdraw(q, sc)
		}
	}
}

// roundUp rounds up to a power of two, so that a count is sent again only when
// it has changed by a factor.
func roundUp(n int) int {
	if n <= 1 {
		return n
	}
	return 1 << bits.Len(uint(n-1))
}

// sidecarOrder returns the pool's sidecars in an order specific to the team
// (rendezvous hashing). When a sidecar connects or disconnects, the order of the
// others is unchanged.
func (s *State) sidecarOrder(q *queue) []*sidecar {
	if q.version == q.pool.version {
		return q.order
	}
	type ranked struct {
		sidecar *sidecar
		rank    uint64
	}
	all := make([]ranked, 0, len(q.pool.sidecars))
	for _, sc := range q.pool.sidecars {
		all = append(all, ranked{sc, s.rank(q.team, sc.id)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank != b.rank && a.rank < b.rank {
			return -1
		}
		if a.rank != b.rank {
			return 1
		}
		return strings.Compare(a.sidecar.id, b.sidecar.id)
	})
	q.order = q.order[:0]
	for _, r := range all {
		q.order = append(q.order, r.sidecar)
	}
	q.version = q.pool.version
	return q.order
}

// rank returns the rendezvous hash of a team and a sidecar.
func (s *State) rank(team, sidecar string) uint64 {
	d := xxhash.NewWithSeed(s.cfg.Seed)
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(sidecar)
	return d.Sum64()
}

// maintainPool widens, refreshes and withdraws registrations within the message
// budget.
func (s *State) maintainPool(now time.Time, p *pool) {
	s.registerProbes(now, p)
	if s.cfg.Policy != PolicyPull {
		return
	}
	slots, totalShare := 0, 0.0
	for _, sc := range p.sidecars {
		if sc.available() {
			slots += sc.slots
		}
	}
	for _, q := range p.active {
		if q.len() > 0 {
			totalShare += s.shareOf(q.team)
		}
	}
	for _, q := range p.active {
		if q.len() == 0 {
			s.withdrawIdle(now, q)
			continue
		}
		fairSlots := float64(slots) * s.shareOf(q.team) / totalShare
		s.widen(now, q, fairSlots)
		s.refresh(now, q)
	}
}

// widen extends the queue's subset the longer its oldest request waits, and until
// the subset has FairShareMultiple times the team's fair share of slots. The fair
// share is computed among the teams with requests queued at this router only, so
// it is too large rather than too small.
func (s *State) widen(now time.Time, q *queue, fairSlots float64) {
	wait := q.oldestWait(now)
	if wait < s.cfg.Registration.WidenEvery {
		return
	}
	doublings := min(int(wait/s.cfg.Registration.WidenEvery), maxDoublings)
	s.cover(now, q, coverage{
		sidecars: s.cfg.Registration.Subset << doublings,
		slots:    s.cfg.Registration.FairShareMultiple * fairSlots,
		budgeted: true,
	})
}

// refresh registers the queue again with the sidecars whose registration is old
// or differs much in its count or spread.
func (s *State) refresh(now time.Time, q *queue) {
	for _, sc := range s.sidecarOrder(q) {
		r := q.registrations[sc.id]
		if r == nil {
			continue
		}
		spreadGrew := 4*len(q.registrations) > 5*r.spread
		refreshDue := now.Sub(r.sent) >= s.cfg.Registration.RefreshEvery
		if r.fits(q.len()) && !spreadGrew && !refreshDue {
			continue
		}
		if !s.messageBudget.take(now) {
			return
		}
		s.register(now, q, sc)
	}
}

// withdrawIdle withdraws the registrations of a queue that has been empty for
// WithdrawAfter. Until then they are kept, and a pull is answered with Empty.
func (s *State) withdrawIdle(now time.Time, q *queue) {
	if len(q.registrations) == 0 || now.Sub(q.emptySince) < s.cfg.Registration.WithdrawAfter {
		return
	}
	for _, sc := range s.sidecarOrder(q) {
		if q.registrations[sc.id] == nil {
			continue
		}
		if !s.messageBudget.take(now) {
			return
		}
		s.withdraw(q, sc)
	}
}
