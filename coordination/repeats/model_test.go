package repeats

import (
	"math/rand/v2"
	"time"
)

// The model is a fleet of routers in virtual time, with troubles in series: routers are killed and
// begin anew, are cut off from the store, the store is away and the routers' entries lapse, servers
// crash with dozens of runs each, streams go on and break again, servers refuse, traffic rises.
const (
	modelStep = 20 * time.Millisecond
	// modelSpan is the length of a run; trafficFrom is when its requests start.
	modelSpan   = 70 * time.Second
	trafficFrom = 14 * time.Second
	// entryTTL and renewInterval are those of the routers' entries in the store.
	entryTTL      = 9 * time.Second
	renewInterval = 3 * time.Second
	// rejoinTime is the time in which routers find each other again once their entries lapsed.
	rejoinTime = time.Second
	// serverSlots is the number of runs that a crash ends.
	serverSlots = 64
)

// modelRouter is one router of the model.
type modelRouter struct {
	budget *Budget
	// upFrom is when the present life begins; it is down until then.
	upFrom time.Duration
	// cutUntil is the end of a cut from the store.
	cutUntil time.Duration
	// expires is the end of its entry, and known the number of routers that it last saw registered, or
	// took over from another router; 0 if it has no configuration yet and serves nothing.
	expires time.Duration
	known   int
	size    FleetSize
}

// modelFleet is a run of the model.
type modelFleet struct {
	random  *rand.Rand
	cfg     Config
	routers []*modelRouter
	now     time.Duration
	// rate is the number of requests a second of the whole fleet; refusing is the share of them that
	// a server refuses.
	rate     float64
	refusing float64
	// furtherTries is how often a refused request is tried again at most.
	furtherTries int
	// heldUntil is the end of a time in which heldShare of the retries are held on their way.
	heldUntil time.Duration
	heldShare float64
	// record is the number of routers that the store keeps; it does not lapse.
	record FleetRecord
	// storeUntil is the end of an outage, after which entries are only those of rejoining routers.
	storeUntil time.Duration
	rejoining  bool
	planned    []plannedStep
	// requests and retries are the numbers in each step; wanted those that were asked for.
	requests, retries []int
	wanted, granted   int
}

// plannedStep is something that happens at a time.
type plannedStep struct {
	at time.Duration
	do func()
}

var modelStart = time.Unix(1_000_000, 0)

func (m *modelFleet) clock() time.Time { return modelStart.Add(m.now) }

func newModelFleet(seed uint64, routers int, cfg Config) *modelFleet {
	m := &modelFleet{random: rand.New(rand.NewPCG(seed, uint64(routers))), cfg: cfg, furtherTries: 1}
	steps := int(modelSpan / modelStep)
	m.requests, m.retries = make([]int, steps), make([]int, steps)
	for range routers {
		m.routers = append(m.routers, &modelRouter{budget: New(cfg, m.clock()), expires: entryTTL, known: 1})
	}
	m.rate = 10 + 190*m.random.Float64()
	return m
}

// retry asks the router for a retry. One that is down or serves nothing yet asks for none.
func (m *modelFleet) retry(r *modelRouter) bool {
	if r.upFrom > m.now || r.known == 0 {
		return false
	}
	m.wanted++
	if !r.budget.Take(m.clock(), r.size.Routers(m.clock())).Granted {
		return false
	}
	m.granted++
	m.arrive()
	return true
}

// arrive counts a retry at the time at which it reaches a server.
func (m *modelFleet) arrive() {
	at := m.now
	if m.now < m.heldUntil && m.random.Float64() < m.heldShare {
		at = m.heldUntil
	}
	if at < modelSpan {
		m.retries[int(at/modelStep)]++
	}
}

func (m *modelFleet) up() []*modelRouter {
	var out []*modelRouter
	for _, r := range m.routers {
		if r.upFrom <= m.now && r.known > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (m *modelFleet) run() {
	for ; m.now < modelSpan; m.now += modelStep {
		for i := 0; i < len(m.planned); i++ {
			if m.planned[i].at <= m.now {
				do := m.planned[i].do
				m.planned[i] = m.planned[len(m.planned)-1]
				m.planned = m.planned[:len(m.planned)-1]
				i--
				do()
			}
		}
		m.register()
		m.serve()
	}
}

// register renews the entries in the store and what routers see there.
func (m *modelFleet) register() {
	if m.now < m.storeUntil {
		m.startBySeed()
		return
	}
	if m.rejoining {
		m.rejoining = false
		for _, r := range m.routers {
			r.expires = m.now + m.between(0, rejoinTime) - entryTTL
		}
	}
	registered := 0
	for n, r := range m.routers {
		isDue := (m.now+time.Duration(n)*modelStep)%renewInterval < modelStep || r.expires <= m.now && r.expires > m.now-entryTTL+rejoinTime || r.known <= 1
		if r.upFrom <= m.now && r.cutUntil <= m.now && isDue {
			r.expires = m.now + entryTTL
		}
		if r.expires > m.now {
			registered++
		}
	}
	for _, r := range m.routers {
		if r.upFrom <= m.now && r.cutUntil <= m.now {
			m.learn(r, max(registered, 1))
			r.size.Stored(m.clock(), m.record)
			m.keepRecord(r)
		}
	}
	m.startBySeed()
}

// learn tells the router how many there are.
func (m *modelFleet) learn(r *modelRouter, routers int) {
	r.known = routers
	r.size.Registered(m.clock(), routers)
}

// keepRecord writes the router's record if it is due, without waiting for its turn.
func (m *modelFleet) keepRecord(r *modelRouter) {
	if record, due := r.size.ToStore(m.clock(), "", nil); due {
		m.record = record
	}
}

// startBySeed gives routers that start and do not reach the store what another router knows.
func (m *modelFleet) startBySeed() {
	var seed *modelRouter
	for _, r := range m.routers {
		if r.upFrom <= m.now && r.known > 0 && (seed == nil || r.known > seed.known) {
			seed = r
		}
	}
	if seed == nil {
		return
	}
	for _, r := range m.routers {
		if r.upFrom <= m.now && r.known == 0 {
			m.learn(r, seed.known)
			r.size.Told(m.clock(), seed.size.Record(m.clock()))
		}
	}
}

// serve spreads the requests of a step over the routers that are up.
func (m *modelFleet) serve() {
	up := m.up()
	if m.now < trafficFrom || len(up) == 0 {
		return
	}
	expected := m.rate * modelStep.Seconds()
	count := int(expected)
	if m.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		r := up[m.random.IntN(len(up))]
		r.budget.Request(m.clock())
		m.requests[int(m.now/modelStep)]++
		for range m.furtherTries {
			if m.random.Float64() >= m.refusing || !m.retry(r) {
				break
			}
		}
	}
}
