package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"goldcrestport/coordination/internal/virtualtime"
)

// fleet drives the States of several sidecars and one generator of arrivals in simulated
// time. A heavy team always has work; a light one has Poisson arrivals.
type fleet struct {
	virtualtime.Queue
	sidecars []*State
	// seq numbers the attempts.
	seq    uint64
	teams  []*testTeam
	byName map[string]*testTeam
	runs   map[uint64]*simRun
	// delay is the one-way latency of a message.
	delay time.Duration
	// exchange is the period of the exchange of counters; 0 for none.
	exchange time.Duration
	// rounds holds the remaining exchange partners of each sidecar in its present round.
	rounds map[int][]int
	// partitioned reports whether two sidecars cannot exchange now.
	partitioned func(a, b int, now time.Time) bool
	rng         *rand.Rand
	worst       float64
	// after checks a sidecar after each step.
	after func(sidecar int)
}

type testTeam struct {
	name       string
	mean       float64
	share      float64
	period     time.Duration // between arrivals; 0 for always backlogged
	sidecars   []int
	rng        *rand.Rand
	queue      []time.Time
	served     float64
	waits      []float64
	joinedLate bool
	// fixed overrides the costs.
	fixed func() float64
}

type simRun struct {
	sidecar int
	from    *testTeam
	cost    float64
	start   time.Time
}

// scenario holds what varies between runs of the fleet.
type scenario struct {
	sidecars, slots int
	subset          int // number of sidecars that see a small team; 0 for all
	exchange        time.Duration
	policy          Policy
	seed            uint64
	duration        time.Duration
	heavy           []float64
	light           int
	change          func(*Config)
}

var heavyMeans = []float64{0.3, 0.6, 1.2, 3, 6, 12}

const simTick = 50 * time.Millisecond

func newFleet(sc scenario) *fleet {
	f := &fleet{
		Queue:       virtualtime.Queue{Now: time.Unix(0, 0)},
		byName:      map[string]*testTeam{},
		runs:        map[uint64]*simRun{},
		delay:       500 * time.Microsecond,
		exchange:    sc.exchange,
		rounds:      map[int][]int{},
		rng:         rand.New(rand.NewPCG(sc.seed, 1)),
		partitioned: func(int, int, time.Time) bool { return false },
		after:       func(int) {},
	}
	for i := range sc.sidecars {
		f.addSidecar(i, sc)
	}
	for i, mean := range sc.heavy {
		f.addTeam(fmt.Sprintf("heavy-%d", i), mean, 0, f.pick(sc, i%2 == 0), sc.seed)
	}
	for i := range sc.light {
		f.addTeam(fmt.Sprintf("light-%d", i), 1, 2*time.Second, f.pick(sc, true), sc.seed)
	}
	return f
}

func (f *fleet) addSidecar(i int, sc scenario) {
	f.sidecars = append(f.sidecars, New(sidecarConfig(i, "1", sc)))
	f.After(time.Duration(f.rng.IntN(int(simTick))), func() { f.tick(i) })
	if f.exchange > 0 {
		f.After(time.Duration(f.rng.Int64N(int64(f.exchange))), func() { f.gossip(i) })
	}
}

// restart replaces a sidecar's State by an empty one and restores it from a peer.
func (f *fleet) restart(i int, sc scenario) {
	f.sidecars[i] = New(sidecarConfig(i, "2", sc))
	for id, r := range f.runs {
		if r.sidecar == i {
			if !r.start.IsZero() {
				r.from.served += f.Now.Sub(r.start).Seconds()
			}
			delete(f.runs, id)
		}
	}
	for _, s := range f.teams {
		if slices.Contains(s.sidecars, i) && s.period == 0 {
			f.step(i, Interest{Router: "r", Team: s.name, Count: 1000, Spread: len(s.sidecars)})
		}
	}
	counters, ahead := f.sidecars[(i+1)%len(f.sidecars)].Snapshot()
	f.step(i, CountersReceived{Counters: counters, Ahead: ahead})
}

func sidecarConfig(i int, incarnation string, sc scenario) Config {
	cfg := DefaultConfig()
	cfg.Slots, cfg.LookAhead, cfg.Seed = sc.slots, 0, sc.seed+uint64(i)
	if sc.policy != "" {
		cfg.Policy = sc.policy
	}
	cfg.Ledger.Writer, cfg.Ledger.Incarnation = fmt.Sprint(i), incarnation
	if sc.change != nil {
		sc.change(&cfg)
	}
	return cfg
}

// pick returns the sidecars that see a team.
func (f *fleet) pick(sc scenario, isSmall bool) []int {
	all := f.rng.Perm(sc.sidecars)
	if isSmall && sc.subset > 0 {
		return all[:sc.subset]
	}
	return all
}

func (f *fleet) addTeam(name string, mean float64, period time.Duration, seen []int, seed uint64) {
	s := &testTeam{name: name, mean: mean, share: 1, period: period, sidecars: seen}
	s.rng = rand.New(rand.NewPCG(seed, uint64(len(f.teams))+7))
	f.teams = append(f.teams, s)
	f.byName[name] = s
	if period > 0 {
		f.After(time.Duration(s.rng.ExpFloat64()*float64(period)), func() { f.arrive(s) })
		return
	}
	f.After(0, func() { f.register(s, 1000) })
}

// cost draws a long-tailed cost with the team's mean, capped at 60.
func (s *testTeam) cost() float64 {
	if s.fixed != nil {
		return s.fixed()
	}
	const sigma = 1.0
	return min(60, s.mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// run advances the time by the duration.
func (f *fleet) run(duration time.Duration) { f.RunUntil(f.Now.Add(duration)) }

func (f *fleet) register(s *testTeam, count int) {
	for _, i := range s.sidecars {
		f.step(i, Interest{Router: "r", Team: s.name, Count: count, Spread: len(s.sidecars)})
	}
}

func (f *fleet) arrive(s *testTeam) {
	s.queue = append(s.queue, f.Now)
	if len(s.queue) == 1 {
		f.register(s, 1)
	}
	f.After(time.Duration(s.rng.ExpFloat64()*float64(s.period)), func() { f.arrive(s) })
}

func (f *fleet) step(i int, ev Event) {
	actions := append([]Action(nil), f.sidecars[i].Step(f.Now, ev)...)
	f.after(i)
	for _, a := range actions {
		switch a := a.(type) {
		case Pull:
			f.After(f.delay, func() { f.handOver(i, a) })
		case Start:
			f.start(i, a.Attempt)
		}
	}
}

func (f *fleet) handOver(i int, p Pull) {
	s := f.byName[p.Team]
	if s.period > 0 {
		if len(s.queue) == 0 {
			f.After(f.delay, func() { f.step(i, PullEmpty{Pull: p.ID}) })
			return
		}
		arrived := s.queue[0]
		s.queue = s.queue[1:]
		s.waits = append(s.waits, f.Now.Sub(arrived).Seconds())
		if len(s.queue) == 0 {
			f.register(s, 0)
		}
	}
	f.seq++
	attempt := f.seq
	f.runs[attempt] = &simRun{sidecar: i, from: s, cost: s.cost()}
	f.After(f.delay, func() {
		if f.runs[attempt] == nil {
			return
		}
		f.step(i, Offered{Attempt: attempt, Pull: p.ID, Router: "r", Team: p.Team})
	})
}

func (f *fleet) start(i int, attempt uint64) {
	r := f.runs[attempt]
	r.start = f.Now
	f.After(time.Duration(r.cost*float64(time.Second)), func() {
		if f.runs[attempt] == nil {
			return
		}
		r.from.served += r.cost
		delete(f.runs, attempt)
		f.step(i, Ended{Attempt: attempt, Cost: r.cost, Completed: true})
	})
}

func (f *fleet) tick(i int) {
	var ids []uint64
	for id, r := range f.runs {
		if r.sidecar == i && !r.start.IsZero() {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		f.step(i, Progressed{Attempt: id, Cost: f.Now.Sub(f.runs[id].start).Seconds()})
	}
	f.step(i, Ticked{})
	if i == 0 {
		f.worst = max(f.worst, f.gap())
	}
	f.After(simTick, func() { f.tick(i) })
}

// gap returns the largest difference of service per share between always backlogged teams,
// including the cost of running attempts so far.
func (f *fleet) gap() float64 {
	accrued := map[*testTeam]float64{}
	for _, r := range f.runs {
		if !r.start.IsZero() {
			accrued[r.from] += f.Now.Sub(r.start).Seconds()
		}
	}
	least, most := math.Inf(1), math.Inf(-1)
	for _, s := range f.teams {
		if s.period == 0 && !s.joinedLate {
			v := (s.served + accrued[s]) / s.share
			least, most = min(least, v), max(most, v)
		}
	}
	return most - least
}

// gossip exchanges counters between a sidecar and the next partners of its round, as the
// driver does: at least three, and each partner once in 6 s.
func (f *fleet) gossip(i int) {
	const minPartners, roundPeriod = 3, 6 * time.Second
	n := max(minPartners, int(time.Duration(len(f.sidecars))*f.exchange/roundPeriod))
	for range n {
		if len(f.rounds[i]) == 0 {
			f.rounds[i] = f.rng.Perm(len(f.sidecars))
		}
		j := f.rounds[i][0]
		f.rounds[i] = f.rounds[i][1:]
		if j == i || f.partitioned(i, j, f.Now) {
			continue
		}
		f.sendCounters(i, j)
		f.sendCounters(j, i)
	}
	f.After(f.exchange, func() { f.gossip(i) })
}

func (f *fleet) sendCounters(from, to int) {
	f.step(to, CountersReceived{Counters: f.sidecars[from].Counters(1000)})
}

// lightWait returns the 95th percentile of the light teams' waits.
func (f *fleet) lightWait() float64 {
	var all []float64
	for _, s := range f.teams {
		all = append(all, s.waits...)
	}
	if len(all) == 0 {
		return 0
	}
	sort.Float64s(all)
	return all[len(all)*95/100]
}
