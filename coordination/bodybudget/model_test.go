package bodybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// modelled is one body of the model: it wants so many bytes, and stops short of them if it does not behave.
type modelled struct {
	*Body
	want, stopsAt int64
	perTick       int64
	ended         bool
}

// model plays random callers against a budget. It keeps its own account of what each body holds.
type model struct {
	*qt.C
	rng    *rand.Rand
	s      *State
	now    time.Time
	bodies []*modelled
}

// arrive opens a body: small and honest, large and honest, or one of a crowd.
func (m *model) arrive() {
	one := &modelled{perTick: 1 + m.rng.Int64N(200*kib)}
	owner := Owner{Team: fmt.Sprint(m.rng.IntN(3)), Address: fmt.Sprint(m.rng.IntN(20))}
	switch m.rng.IntN(3) {
	case 0:
		one.want = 1 + m.rng.Int64N(DefaultConfig().Small)
		one.stopsAt = one.want
	case 1:
		one.want = 1 + m.rng.Int64N(2*mib)
		one.stopsAt = one.want
	default:
		one.want = 2 * mib
		one.stopsAt = m.rng.Int64N(one.want)
	}
	declared := int64(-1)
	if m.rng.IntN(2) == 0 {
		declared = one.want
	}
	one.Body = m.s.Open(m.now, owner, declared, func() { one.ended = true })
	if one.Body != nil {
		m.bodies = append(m.bodies, one)
	}
}

// step lets a body send for one tick. It returns false when the body is over.
func (m *model) step(one *modelled) bool {
	if one.ended {
		return false
	}
	if one.arrived >= one.want {
		// At work; its request ends at some time.
		return one.finished && m.rng.IntN(20) > 0 || !one.finished && m.s.Finish(one.Body)
	}
	n := min(one.perTick, one.stopsAt-one.arrived)
	if n <= 0 {
		return true
	}
	if need := one.arrived + n - one.held; need > 0 {
		verdict, ending := m.s.Grow(m.now, one.Body, need)
		for _, b := range ending {
			m.Check(b.finished, qt.IsFalse)
			b.Interrupt()
		}
		switch verdict {
		case Refused:
			return false
		case Waits:
			return true
		}
	}
	m.s.Progress(m.now, one.Body, int(n))
	return true
}

// check compares the budget's account with the model's.
func (m *model) check() {
	sum, large := int64(0), int64(0)
	byTeam, byAddress := map[string]int64{}, map[string]int64{}
	for _, one := range m.bodies {
		sum += one.held
		byTeam[one.owner.Team] += one.held
		byAddress[one.owner.Address] += one.held
		if one.held > m.s.cfg.Small {
			large += one.held
		}
	}
	m.Assert(m.s.all, qt.Equals, held{sum, large})
	m.Assert(sum <= m.s.limit, qt.IsTrue)
	m.Assert(large <= m.s.largeLimit(), qt.IsTrue)
	for team, n := range byTeam {
		m.Assert(m.s.byTeam[team].total, qt.Equals, n)
	}
	for address, n := range byAddress {
		m.Assert(m.s.byAddress[address], qt.Equals, n)
	}
}

// checkSmall checks that a small body is refused only if small bodies hold all of their part.
func (m *model) checkSmall() {
	small := m.s.all.total - m.s.all.large
	if small+DefaultConfig().Small > m.s.limit-m.s.largeLimit() {
		return
	}
	one := m.s.Open(m.now, Owner{Team: "ordinary", Address: "ordinary"}, -1, nil)
	verdict, _ := m.s.Grow(m.now, one, DefaultConfig().Small)
	m.Assert(verdict, qt.Equals, Granted)
	m.s.Close(m.now, one)
}

// Guards against an account that goes over, leaks or starves small bodies, over random arrivals, growth and ends.
func TestRandomCallers(t *testing.T) {
	for seed := range uint64(40) {
		m := &model{C: qt.New(t), rng: rand.New(rand.NewPCG(seed, 76)), s: New(DefaultConfig(), 16*mib), now: begin}
		for tick := range 400 {
			m.now = m.now.Add(50 * time.Millisecond)
			for range m.rng.IntN(6) {
				m.arrive()
			}
			kept := m.bodies[:0]
			for _, one := range m.bodies {
				if m.step(one) {
					kept = append(kept, one)
					continue
				}
				m.s.Close(m.now, one.Body)
			}
			m.bodies = kept
			m.check()
			if tick%7 == 0 {
				m.checkSmall()
			}
		}
		for _, one := range m.bodies {
			m.s.Close(m.now, one.Body)
			m.s.Close(m.now, one.Body)
		}
		m.Check(m.s.all, qt.Equals, held{})
		m.Check(m.s.byTeam, qt.HasLen, 0)
		m.Check(m.s.byAddress, qt.HasLen, 0)
	}
}
