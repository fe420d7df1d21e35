package partquarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
)

// fleetLoad is a fleet in virtual time. Its callers send requests of which no two are alike; some
// have a part that crashes each server that starts to answer on it.
type fleetLoad struct {
	routers, servers int
	// badGap is the time between two requests with a crashing part, soundGap that between two others.
	badGap, soundGap time.Duration
	// bad are the crashing parts, by turns.
	bad []uint64
	// together is a harmless part that comes with each bad one and with each third sound request.
	together uint64
	// otherGap is the time between crashes that no request causes; zero: none.
	otherGap time.Duration
	// soundRun is how long the answer to a sound request takes.
	soundRun time.Duration
	// down is how long a crashed server is away.
	down time.Duration
	span time.Duration
	// loss is the percentage of messages between routers that are lost.
	loss int
	// lostAt is when the first router loses what it knows, and cut are the routers that no message
	// reaches or leaves.
	lostAt time.Duration
	cut    int
	// topics is the number of the sound requests' own shared parts.
	topics int
	// badFrom is when the first request with a bad part comes.
	badFrom time.Duration
}

const (
	fleetStep  = 10 * time.Millisecond
	firstToken = 60 * time.Millisecond
	// sharedByAll is the part that all requests have.
	sharedByAll = 1
	// contact is the time after the last allowed crash from which connected routers must know of it.
	contact     = 3 * time.Second
	soundTopics = 40
	// crashesMax is the number of crashes that a crashing part may cause, and sendsMax that of the sends later than
	// contact after the last of them.
	crashesMax = 5
	sendsMax   = 3
)

var epoch = time.Unix(1_700_000_000, 0)

// fleetOutcome is the outcome of a fleetLoad.
type fleetOutcome struct {
	crashes []time.Time
	// badSends are the sends of requests with a bad part, by part, at routers that are not cut off.
	badSends   map[uint64][]time.Time
	badCrashes map[uint64][]time.Time
	sound      int
	// refused and waited are the sound requests that were refused, and asked to come back.
	refused, waited int
	// lateSound and lateRefused are those of the last five seconds.
	lateSound, lateRefused int
}

type modelRun struct {
	run          *Run
	router       int
	bad          uint64
	begins, ends time.Time
	begun        bool
}

type modelServer struct {
	id   int
	life int
	upAt time.Time
	runs []*modelRun
}

func (m *modelServer) identity() string { return fmt.Sprintf("i-%d@%d", m.id, m.life) }

type fleetModel struct {
	fleetLoad
	random  *rand.Rand
	ids     []string
	states  []*State
	servers []*modelServer
	out     fleetOutcome
	unique  uint64
}

// play plays the load with the seed.
func (l fleetLoad) play(seed uint64) fleetOutcome {
	m := &fleetModel{fleetLoad: l, random: rand.New(rand.NewPCG(seed, 60)), unique: 1 << 40}
	m.out.badSends, m.out.badCrashes = make(map[uint64][]time.Time), make(map[uint64][]time.Time)
	for n := range l.routers {
		m.ids = append(m.ids, fmt.Sprint("r", n))
	}
	for n := range l.routers {
		m.states = append(m.states, m.newState(n))
	}
	for n := range l.servers {
		m.servers = append(m.servers, &modelServer{id: n})
	}
	nextBad, nextSound, nextOther := l.badFrom, time.Duration(0), l.otherGap
	turn := 0
	for at := time.Duration(0); at < l.span; at += fleetStep {
		now := epoch.Add(at)
		for ; len(l.bad) > 0 && nextBad <= at; nextBad += l.badGap {
			m.sendBad(now, l.bad[turn%len(l.bad)])
			turn++
		}
		for ; nextSound <= at; nextSound += l.soundGap {
			m.sendSound(now, at >= l.span-5*time.Second)
		}
		for ; l.otherGap > 0 && nextOther <= at; nextOther += l.otherGap {
			if one := m.servers[m.random.IntN(len(m.servers))]; !now.Before(one.upAt) {
				m.crash(now, one)
			}
		}
		if l.lostAt > 0 && at == l.lostAt {
			m.states[0] = m.newState(0)
		}
		m.runServers(now)
		m.exchange(now, at)
	}
	return m.out
}

func (m *fleetModel) newState(n int) *State {
	s := New(DefaultConfig(), m.ids[n])
	s.SetRouters(m.ids)
	return s
}

func (m *fleetModel) isCut(n int) bool { return n >= m.routers-m.cut }

func (m *fleetModel) sendBad(now time.Time, bad uint64) {
	m.unique++
	parts := []admission.Prefix{{ID: sharedByAll}, {ID: m.unique}, {ID: bad}}
	if m.together != 0 {
		parts = append(parts, admission.Prefix{ID: m.together})
	}
	m.send(now, bad, parts)
}

func (m *fleetModel) sendSound(now time.Time, late bool) {
	m.unique++
	parts := []admission.Prefix{{ID: sharedByAll}, {ID: m.unique}, {ID: 100 + uint64(m.random.IntN(m.topics))}}
	if m.together != 0 && m.unique%3 == 0 {
		parts = append(parts, admission.Prefix{ID: m.together})
	}
	verdict := m.send(now, 0, parts)
	m.out.sound++
	switch verdict {
	case Refuse:
		m.out.refused++
	case Wait:
		m.out.waited++
	}
	if late {
		m.out.lateSound++
		if verdict != Pass {
			m.out.lateRefused++
		}
	}
}

func (m *fleetModel) send(now time.Time, bad uint64, parts []admission.Prefix) Verdict {
	n := m.random.IntN(m.routers)
	d := m.states[n].Check(now, "app", "class", parts)
	if d.Verdict != Pass {
		return d.Verdict
	}
	one := m.choose(now, d.Isolation)
	if one == nil {
		return Pass
	}
	r := &modelRun{router: n, bad: bad, begins: now.Add(firstToken), ends: now.Add(m.soundRun), run: begin(m.states[n], one.identity(), "app", parts)}
	if bad != 0 {
		r.ends = r.begins.Add(time.Duration(m.random.IntN(100)) * time.Millisecond)
		if !m.isCut(n) {
			m.out.badSends[bad] = append(m.out.badSends[bad], now)
		}
	}
	one.runs = append(one.runs, r)
	return Pass
}

// choose returns a server that is up, as the admission does for isolated requests.
func (m *fleetModel) choose(now time.Time, isolation *admission.Isolation) *modelServer {
	var up []*modelServer
	for _, one := range m.servers {
		if !now.Before(one.upAt) {
			up = append(up, one)
		}
	}
	if len(up) == 0 {
		return nil
	}
	if isolation != nil {
		slices.SortFunc(up, func(a, b *modelServer) int {
			if mix(isolation.Key, Part(a.id+1)) < mix(isolation.Key, Part(b.id+1)) {
				return -1
			}
			return 1
		})
		up = up[:max(int(isolation.Share*float64(len(up))/2), 1)]
	}
	return up[m.random.IntN(len(up))]
}

func (m *fleetModel) runServers(now time.Time) {
	for _, one := range m.servers {
		isCrashed := uint64(0)
		for _, r := range one.runs {
			if !r.begun && !now.Before(r.begins) {
				r.begun = true
				m.states[r.router].Answered(now, r.run)
				m.states[r.router].Alive(now, one.identity())
			}
			if r.bad != 0 && !now.Before(r.ends) {
				isCrashed = r.bad
			}
		}
		if isCrashed != 0 {
			m.out.badCrashes[isCrashed] = append(m.out.badCrashes[isCrashed], now)
			m.crash(now, one)
			continue
		}
		one.runs = slices.DeleteFunc(one.runs, func(r *modelRun) bool {
			if now.Before(r.ends) {
				return false
			}
			m.states[r.router].End(now, r.run, quarantine.Complete)
			return true
		})
	}
}

func (m *fleetModel) crash(now time.Time, one *modelServer) {
	m.out.crashes = append(m.out.crashes, now)
	at := make(map[int]bool)
	for _, r := range one.runs {
		at[r.router] = true
		m.states[r.router].End(now, r.run, quarantine.Broken)
	}
	for n := range at {
		m.states[n].Crash(now, one.identity())
	}
	one.life++
	one.upAt, one.runs = now.Add(m.down), nil
}

// exchange has the routers judge and report, at the rates of the transport.
func (m *fleetModel) exchange(now time.Time, at time.Duration) {
	unsentPeriod := max(time.Duration(m.routers)*time.Second/2000, fleetStep).Truncate(fleetStep)
	periodic := max(250*time.Millisecond, time.Duration(m.routers)*5*time.Millisecond).Truncate(fleetStep)
	for n, s := range m.states {
		if at%(200*time.Millisecond) == 0 {
			s.Tick(now)
		}
		var reports []Report
		if s.HasUnsent() && at%unsentPeriod == 0 {
			reports = s.UnsentReports(now)
		}
		if at%periodic == 0 {
			reports = append(reports, s.PeriodicReports(now)...)
		}
		for _, one := range reports {
			m.deliver(now, n, one)
		}
	}
}

func (m *fleetModel) deliver(now time.Time, from int, report Report) {
	if m.isCut(from) {
		return
	}
	for to, s := range m.states {
		if to != from && !m.isCut(to) && m.random.IntN(100) >= m.loss {
			s.Merge(now, report)
		}
	}
}
