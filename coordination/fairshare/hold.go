package fairshare

import "math"

// holder tells which teams beyond their share run ahead of one that asks for more than it
// gets.
//
// The pattern that it answers: a team's callers come to few routers, which cannot deliver
// its share, and the servers' short queues hold nobody back: others beyond their shares
// get several times as much. They are held to a factor of the least served team, but to
// no less than their share.
type holder struct {
	// least is what the least served team got that asks for its share at least and for
	// more than it gets; +Inf without one.
	least float64
}

// unmet is the part of what it asks for below which a team asks for more than it gets.
const unmet = 0.7

// observe takes what teams asked for and got.
func (h *holder) observe(m *Meter) {
	h.least = unlimited
	for _, u := range m.total {
		if u.Asked >= m.level && u.Begun < unmet*u.Asked {
			h.least = min(h.least, u.Begun)
		}
	}
}

// holds reports whether the team is beyond its share and the factor of the least served.
func (h *holder) holds(m *Meter, team TeamID, factor float64) bool {
	if factor <= 0 || math.IsInf(h.least, 1) {
		return false
	}
	return m.total[team].Begun > max(factor*h.least, m.level)
}
