package fairshare

import "math"

// holder tells which teams beyond their share run ahead of one that asks for more than it
// gets.
//
// The pattern that it answers: a team's callers come to few routers, which cannot deliver
// its share, and the servers' short queues hold nobody back: others beyond their shares
// get several times as much. They are held to a factor of the least served team, but only
// when they are well beyond their share, and less where that team is near its own.
type holder struct {
	// least is what the least served team got that asks for its share at least and for
	// more than it gets; +Inf without one.
	least float64
}

// unmet is the part of what it asks for below which a team asks for more than it gets.
const unmet = 0.7

// Parts of its share: up to wellBeyond no team is held, as the windows of callers and
// routers differ by parts of a second; from nearShare on a team that gets least is not in
// want, and others are held to mostAhead times of it only, so that servers stay busy.
const (
	wellBeyond = 1.3
	nearShare  = 0.7
	mostAhead  = 1.9
)

// observe takes what teams asked for and got.
func (h *holder) observe(m *Meter) {
	h.least = unlimited
	for _, u := range m.total {
		if u.Asked >= m.level && u.Begun < unmet*u.Asked {
			h.least = min(h.least, u.Begun)
		}
	}
}

// holds reports whether the team is well beyond its share and beyond the factor of the
// least served.
func (h *holder) holds(m *Meter, team TeamID, factor float64) bool {
	if factor <= 0 || math.IsInf(h.least, 1) {
		return false
	}
	if h.least >= nearShare*m.level {
		factor = max(factor, mostAhead)
	}
	return m.total[team].Begun > max(factor*h.least, wellBeyond*m.level)
}
