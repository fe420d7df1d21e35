package repeats

import (
	"fmt"
	"testing"
	"time"
)

// Requests a second where few come, so that the allowance binds.
const (
	fewestRequests = 5
	mostFew        = 60
)

// refuseAll makes servers refuse most requests from now on, and requests few.
func (m *modelFleet) refuseAll() {
	m.rate = fewestRequests + (mostFew-fewestRequests)*m.random.Float64()
	m.refusing = 0.6 + 0.4*m.random.Float64()
	m.furtherTries = 1 + m.random.IntN(3)
}

// lastingTrouble is a trouble beside refusals that last.
type lastingTrouble struct {
	name string
	make func(m *modelFleet)
}

// lastingTroubles are played one at a time, and several at once.
var lastingTroubles = []lastingTrouble{
	{"none", func(*modelFleet) {}},
	{"all killed every few seconds", (*modelFleet).killAllOften},
	{"killed in turn", func(m *modelFleet) { m.killInTurn(trafficFrom + m.between(0, 10*time.Second)) }},
	{"part cut off, others killed", (*modelFleet).killBesideCut},
	{"entries lapse, part cut off, others killed", (*modelFleet).killBesideLapsed},
	{"fleet grows", (*modelFleet).grow},
	{"paths held", func(m *modelFleet) { m.hold(trafficFrom + m.between(0, 20*time.Second)) }},
	{"paths held, all killed", func(m *modelFleet) {
		m.hold(trafficFrom + m.between(5*time.Second, 20*time.Second))
		m.killAllOften()
	}},
	{"several at once", func(m *modelFleet) {
		m.killAllOften()
		m.killBesideLapsed()
		m.hold(trafficFrom + m.between(5*time.Second, 30*time.Second))
		m.troubles()
		m.plan(modelSpan-20*time.Second, m.refuseAll)
	}},
}

// killAllOften kills all routers at once, again and again.
func (m *modelFleet) killAllOften() {
	gap := m.between(2*time.Second, 12*time.Second)
	for at := trafficFrom + m.between(0, gap); at < modelSpan; at += gap {
		m.plan(at, m.killEach)
	}
}

func (m *modelFleet) killEach() {
	for _, r := range m.routers {
		m.kill(r)
	}
}

// killBesideCut cuts a part of the routers off from the store until their entries lapse, and then kills
// the others every few seconds, which see few registered as they begin again.
func (m *modelFleet) killBesideCut() {
	from := trafficFrom + m.between(0, 5*time.Second)
	m.cutPart(from, modelSpan)
	m.killConnected(from + entryTTL + time.Second)
}

// killBesideLapsed takes the store away until all entries lapse; a part of the routers stays cut off after
// it, and the others are killed every few seconds.
func (m *modelFleet) killBesideLapsed() {
	from := trafficFrom + m.between(0, 5*time.Second)
	span := m.between(2*time.Second, 12*time.Second)
	m.plan(from, func() { m.storeUntil, m.rejoining = m.now+span, true })
	m.cutPart(from, modelSpan)
	m.killConnected(from + span + time.Second)
}

// cutPart cuts all but a few routers off from the store.
func (m *modelFleet) cutPart(at, span time.Duration) {
	share := 0.3 + 0.7*m.random.Float64()
	m.plan(at, func() {
		for _, r := range m.routers[1:] {
			if m.random.Float64() < share {
				r.cutUntil = m.now + span
			}
		}
	})
}

// killConnected kills the routers that reach the store every few seconds.
func (m *modelFleet) killConnected(from time.Duration) {
	gap := m.between(2*time.Second, 15*time.Second)
	for at := from; at < modelSpan; at += gap {
		m.plan(at, func() {
			for _, r := range m.routers {
				if r.cutUntil <= m.now {
					m.kill(r)
				}
			}
		})
	}
}

// grow starts most of the routers one after the other while traffic runs.
func (m *modelFleet) grow() {
	span := m.between(time.Second, 30*time.Second)
	first := 1 + len(m.routers)/10
	for n, r := range m.routers[first:] {
		m.begin(r, trafficFrom+span*time.Duration(n)/time.Duration(len(m.routers)))
	}
}

// hold holds a share of the retries on their way; they arrive together at its end.
func (m *modelFleet) hold(at time.Duration) {
	span, share := m.between(time.Second, longestHold), m.random.Float64()
	m.plan(at, func() { m.heldUntil, m.heldShare = m.now+span, share })
}

// longestHold is for how long bytes may be on their way.
const longestHold = 5 * time.Second

// lastingSizes are the sizes of fleets, with the number of seeds at each.
var lastingSizes = []struct {
	routers int
	seeds   uint64
}{{3, 40}, {5, 40}, {6, 40}, {15, 40}, {60, 10}, {800, 1}}

// Guards against retries of the whole fleet beyond ratio and allowance where few requests come and
// refusals last, so that all routers want all that they may send, beside troubles of routers, the store
// and paths.
func TestLastingRefusalsStayWithinTheBudget(t *testing.T) {
	for _, size := range lastingSizes {
		for _, trouble := range lastingTroubles {
			t.Run(fmt.Sprintf("%d/%s", size.routers, trouble.name), func(t *testing.T) {
				t.Parallel()
				var most window
				wanted, granted := 0, 0
				for seed := range size.seeds {
					m := newModelFleet(seed, size.routers, fleetConfig)
					m.plan(trafficFrom, m.refuseAll)
					trouble.make(m)
					m.run()
					wanted, granted = wanted+m.wanted, granted+m.granted
					w := m.worst()
					if w.retries > w.allowed {
						t.Errorf("seed %d: %v retries of %.0f allowed", seed, w.retries, w.allowed)
					}
					if w.used() > most.used() || seed == 0 {
						most = w
					}
				}
				t.Logf("%d routers, %s: at worst %.2f used (%v of %.0f), %d of %d wanted retries granted", size.routers, trouble.name, most.used(), most.retries, most.allowed, granted, wanted)
			})
		}
	}
}
