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

// fleet drives share cores and one arrival generator by a fake clock. A heavy
// team always has work; a light one has Poisson arrivals.
type fleet struct {
	virtualtime.Queue
	cores []*State
	// seq numbers the attempts.
	seq    uint64
	teams  []*source
	byName map[string]*source
	runs   map[uint64]*simRun
	// delay is the one-way time of a message.
	delay time.Duration
	// exchange is the period of the exchange of counters; 0 for none.
	exchange time.Duration
	// rounds holds whom each core exchanges with next.
	rounds map[int][]int
	// cut reports whether two cores cannot exchange now.
	cut   func(a, b int, now time.Time) bool
	rng   *rand.Rand
	worst float64
	// after checks the cores after each step.
	after func(core int)
}

type source struct {
	name   string
	mean   float64
	share  float64
	period time.Duration // between arrivals; 0 for always backlogged
	seen   []int
	rng    *rand.Rand
	queue  []time.Time
	served float64
	waits  []float64
	late   bool
	// fixed overrides the costs.
	fixed func() float64
}

type simRun struct {
	core  int
	from  *source
	cost  float64
	start time.Time
}

// scenario is what a run of the fleet varies.
type scenario struct {
	cores, slots int
	subset       int // cores that see a team of less than large mean; 0: all
	exchange     time.Duration
	policy       Policy
	seed         uint64
	last         time.Duration
	heavy        []float64
	light        int
	change       func(*Config)
}

var heavyMeans = []float64{0.3, 0.6, 1.2, 3, 6, 12}

const simTick = 50 * time.Millisecond

func newFleet(sc scenario) *fleet {
	f := &fleet{
		Queue:    virtualtime.Queue{Now: time.Unix(0, 0)},
		byName:   map[string]*source{},
		runs:     map[uint64]*simRun{},
		delay:    500 * time.Microsecond,
		exchange: sc.exchange,
		rounds:   map[int][]int{},
		rng:      rand.New(rand.NewPCG(sc.seed, 1)),
		cut:      func(int, int, time.Time) bool { return false },
		after:    func(int) {},
	}
	for i := range sc.cores {
		f.addCore(i, sc)
	}
	for i, mean := range sc.heavy {
		f.addTeam(fmt.Sprintf("heavy-%d", i), mean, 0, f.pick(sc, i%2 == 0), sc.seed)
	}
	for i := range sc.light {
		f.addTeam(fmt.Sprintf("light-%d", i), 1, 2*time.Second, f.pick(sc, true), sc.seed)
	}
	return f
}

func (f *fleet) addCore(i int, sc scenario) {
	f.cores = append(f.cores, New(coreConfig(i, "1", sc)))
	f.After(time.Duration(f.rng.IntN(int(simTick))), func() { f.tick(i) })
	if f.exchange > 0 {
		f.After(time.Duration(f.rng.Int64N(int64(f.exchange))), func() { f.gossip(i) })
	}
}

// restart replaces a core by one that remembers nothing and asks a peer.
func (f *fleet) restart(i int, sc scenario) {
	f.cores[i] = New(coreConfig(i, "2", sc))
	for id, r := range f.runs {
		if r.core == i {
			if !r.start.IsZero() {
				r.from.served += f.Now.Sub(r.start).Seconds()
			}
			delete(f.runs, id)
		}
	}
	for _, s := range f.teams {
		if slices.Contains(s.seen, i) && s.period == 0 {
			f.step(i, Interest{Router: "r", Team: s.name, Count: 1000, Spread: len(s.seen)})
		}
	}
	counters, ahead := f.cores[(i+1)%len(f.cores)].Standing()
	f.step(i, Heard{Counters: counters, Ahead: ahead})
}

func coreConfig(i int, incarnation string, sc scenario) Config {
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

// pick returns the cores that see a team.
func (f *fleet) pick(sc scenario, small bool) []int {
	all := f.rng.Perm(sc.cores)
	if small && sc.subset > 0 {
		return all[:sc.subset]
	}
	return all
}

func (f *fleet) addTeam(name string, mean float64, period time.Duration, seen []int, seed uint64) {
	s := &source{name: name, mean: mean, share: 1, period: period, seen: seen}
	s.rng = rand.New(rand.NewPCG(seed, uint64(len(f.teams))+7))
	f.teams = append(f.teams, s)
	f.byName[name] = s
	if period > 0 {
		f.After(time.Duration(s.rng.ExpFloat64()*float64(period)), func() { f.arrive(s) })
		return
	}
	f.After(0, func() { f.register(s, 1000) })
}

// cost is a long-tailed cost with the team's mean, capped at 60.
func (s *source) cost() float64 {
	if s.fixed != nil {
		return s.fixed()
	}
	const sigma = 1.0
	return min(60, s.mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// run lets the time pass.
func (f *fleet) run(last time.Duration) { f.RunUntil(f.Now.Add(last)) }

func (f *fleet) register(s *source, count int) {
	for _, i := range s.seen {
		f.step(i, Interest{Router: "r", Team: s.name, Count: count, Spread: len(s.seen)})
	}
}

func (f *fleet) arrive(s *source) {
	s.queue = append(s.queue, f.Now)
	if len(s.queue) == 1 {
		f.register(s, 1)
	}
	f.After(time.Duration(s.rng.ExpFloat64()*float64(s.period)), func() { f.arrive(s) })
}

func (f *fleet) step(i int, ev Event) {
	actions := append([]Action(nil), f.cores[i].Step(f.Now, ev)...)
	f.after(i)
	for _, a := range actions {
		switch a := a.(type) {
		case Pull:
			f.After(f.delay, func() { f.pulled(i, a) })
		case Start:
			f.start(i, a.Attempt)
		}
	}
}

func (f *fleet) pulled(i int, p Pull) {
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
	f.runs[attempt] = &simRun{core: i, from: s, cost: s.cost()}
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
		f.step(i, Ended{Attempt: attempt, Cost: r.cost, Whole: true})
	})
}

func (f *fleet) tick(i int) {
	var ids []uint64
	for id, r := range f.runs {
		if r.core == i && !r.start.IsZero() {
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

// gap is the largest difference of service per share between always
// backlogged teams, with what runs counted as far as it ran.
func (f *fleet) gap() float64 {
	given := map[*source]float64{}
	for _, r := range f.runs {
		if !r.start.IsZero() {
			given[r.from] += f.Now.Sub(r.start).Seconds()
		}
	}
	least, most := math.Inf(1), math.Inf(-1)
	for _, s := range f.teams {
		if s.period == 0 && !s.late {
			v := (s.served + given[s]) / s.share
			least, most = min(least, v), max(most, v)
		}
	}
	return most - least
}

// gossip exchanges counters between a core and the next others of its round,
// as the driver does: three at least, and each once in 6 s.
func (f *fleet) gossip(i int) {
	const fewest, round = 3, 6 * time.Second
	n := max(fewest, int(time.Duration(len(f.cores))*f.exchange/round))
	for range n {
		if len(f.rounds[i]) == 0 {
			f.rounds[i] = f.rng.Perm(len(f.cores))
		}
		j := f.rounds[i][0]
		f.rounds[i] = f.rounds[i][1:]
		if j == i || f.cut(i, j, f.Now) {
			continue
		}
		f.tell(i, j)
		f.tell(j, i)
	}
	f.After(f.exchange, func() { f.gossip(i) })
}

func (f *fleet) tell(from, to int) {
	f.step(to, Heard{Counters: f.cores[from].Counters(1000)})
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
