package repeats

import "time"

func (m *modelFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(m.random.Int64N(int64(most-least)+1))
}

func (m *modelFleet) plan(at time.Duration, do func()) {
	m.planned = append(m.planned, plannedStep{at, do})
}

// troubles plans a series of troubles that overlap.
func (m *modelFleet) troubles() {
	kinds := []func(at time.Duration){m.killAll, m.killInTurn, m.killSome, m.cut, m.outage, m.crashes, m.crashes, m.crashes, m.refusals, m.burst}
	for range 4 + m.random.IntN(8) {
		kinds[m.random.IntN(len(kinds))](m.between(trafficFrom+2*time.Second, modelSpan-15*time.Second))
	}
}

func (m *modelFleet) kill(r *modelRouter) {
	m.begin(r, m.now+m.between(100*time.Millisecond, 2*time.Second))
}

// begin lets the router begin a life at the given time; it is down until then.
func (m *modelFleet) begin(r *modelRouter, at time.Duration) {
	r.upFrom = at
	r.budget = New(m.cfg, modelStart.Add(at))
	r.known, r.size = 0, FleetSize{}
}

func (m *modelFleet) killAll(at time.Duration) {
	for n := range 1 + m.random.IntN(3) {
		m.plan(at+time.Duration(n)*m.between(time.Second, 6*time.Second), func() {
			for _, r := range m.routers {
				m.kill(r)
			}
		})
	}
}

func (m *modelFleet) killInTurn(at time.Duration) {
	gap := m.between(300*time.Millisecond, 2*time.Second)
	for n, r := range m.routers {
		m.plan(at+time.Duration(n)*gap, func() { m.kill(r) })
	}
}

func (m *modelFleet) killSome(at time.Duration) {
	share := m.random.Float64()
	m.plan(at, func() {
		for _, r := range m.routers {
			if m.random.Float64() < share {
				m.kill(r)
			}
		}
	})
}

// cut cuts a share of the routers off from the store; they go on, and the others see their entries lapse.
func (m *modelFleet) cut(at time.Duration) {
	share, span := m.random.Float64(), m.between(2*time.Second, 20*time.Second)
	m.plan(at, func() {
		for _, r := range m.routers {
			if m.random.Float64() < share {
				r.cutUntil = m.now + span
			}
		}
	})
}

// outage takes the store away; afterwards there are no entries but those of routers that rejoin.
func (m *modelFleet) outage(at time.Duration) {
	span, lapse := m.between(2*time.Second, 12*time.Second), m.random.IntN(2) == 0
	m.plan(at, func() { m.storeUntil, m.rejoining = m.now+span, lapse })
}

func (m *modelFleet) crashes(at time.Duration) {
	gap := m.between(300*time.Millisecond, 2*time.Second)
	for n := range 1 + m.random.IntN(12) {
		m.plan(at+time.Duration(n)*gap, func() { m.crash(serverSlots) })
	}
}

// crash ends a number of runs, each of which may go on elsewhere; a third of these breaks again.
func (m *modelFleet) crash(runs int) {
	up := m.up()
	if len(up) == 0 {
		return
	}
	for range runs {
		r := up[m.random.IntN(len(up))]
		if m.retry(r) && m.random.IntN(3) == 0 {
			m.plan(m.now+100*time.Millisecond, func() { m.retry(r) })
		}
	}
}

func (m *modelFleet) refusals(at time.Duration) {
	share := m.random.Float64()
	m.plan(at, func() { m.refusing = share })
	m.plan(at+m.between(time.Second, 10*time.Second), func() { m.refusing = 0 })
}

func (m *modelFleet) burst(at time.Duration) {
	before := m.rate
	m.plan(at, func() { m.rate = before * (1.5 + 2*m.random.Float64()) })
	m.plan(at+m.between(time.Second, 8*time.Second), func() { m.rate = before })
}
