package versions

import (
	"slices"
	"time"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
)

// This file is what the model's routers say to each other of streams that they do not know, and their planned stops.

// says returns what the router says of a stream that it does not know.
func (r *modelRouter) says() Statement {
	s := r.history.Says("app")
	if r.isOld {
		return Statement{Proven: s.Proven}
	}
	s.Life = r.life
	s.Revision, s.Members = uint64(r.read), uint64(r.members)
	return s
}

// hears returns what another router says to this one.
func (r *modelRouter) hears(other *modelRouter) Statement {
	s := other.says()
	s.Registered, s.Sees = r.peers[other.index], other.peers[r.index]
	return s
}

// concludes returns the first version, by what this router and the others say.
func (r *modelRouter) concludes(others []Statement) (roster.Version, Conclusion) {
	if !r.isOld {
		return Conclude(r.says(), others)
	}
	own := r.says().Proven
	if own == "" || slices.ContainsFunc(others, func(s Statement) bool { return s.Proven != own }) {
		return "", Unproven
	}
	return own, IsProven
}

// takeOver lets a router that began late ask the others what they have proven.
func (m *model) takeOver(r *modelRouter) {
	if r.isOld || m.isBefore || len(r.history.Unproven()) == 0 || m.aside.IntN(4) > 0 {
		return
	}
	asked, isAll := m.asked(r, m.aside)
	var said []Statement
	for _, other := range asked {
		if !other.isReached(m.now) || !other.history.IsMixed(m.wall(), "app") {
			return
		}
		said = append(said, r.hears(other))
	}
	if first, conclusion := r.concludes(said); isAll && conclusion == IsProven {
		r.history.TakeOver("app", first, start.Add(r.knewAllAt))
	}
}

// stop begins a planned stop of the router.
func (m *model) stop(r *modelRouter) {
	if r.alive && r.refusesAt == 0 {
		r.refusesAt = m.now
		r.closesAt = m.now + time.Duration(m.rand.Int64N(int64(2*time.Second)))
		r.endsAt = r.closesAt + time.Duration(m.rand.IntN(4))*modelStep
	}
}

// stopStep lets a router that stops go on with that.
func (m *model) stopStep(r *modelRouter) {
	if r.refusesAt == 0 || !r.runs(m.now) {
		return
	}
	if m.now >= r.closesAt && !r.isClosed {
		r.isClosed, r.inheritance = true, map[origin.ID]roster.Version{}
		first, isKnown := r.history.First("app")
		for id, v := range r.knows {
			if !isKnown || v != first {
				r.inheritance[id] = v
			}
		}
	}
	if r.isClosed && r.isReached(m.now) {
		m.handOver(r)
	}
	if m.now < r.endsAt {
		return
	}
	if len(r.inheritance) == 0 && r.isReached(m.now) && !r.isOld && !m.isBefore {
		m.tell(change{isHandedOver: r.life})
	}
	pause := time.Duration(200+m.rand.IntN(600)) * time.Millisecond
	if m.rand.IntN(4) == 0 {
		// Its entry lapses meanwhile.
		pause += lapse + time.Second
	}
	m.kill(r, pause)
}

// handOver hands what is left of the inheritance to one of the others, by chance.
func (m *model) handOver(r *modelRouter) {
	asked, _ := m.asked(r, m.aside)
	if len(asked) == 0 || r.isOld || m.isBefore {
		return
	}
	heir := asked[m.aside.IntN(len(asked))]
	if !heir.isReached(m.now) || heir.isClosed || heir.isOld {
		return
	}
	for id, v := range r.inheritance {
		heir.knows[id] = v
	}
	r.inheritance = map[origin.ID]roster.Version{}
}

// restartInTurn stops one router after the other from the given time on, each of so many.
func (m *model) restartInTurn(from time.Duration, routers int) {
	const each = 3 * time.Second
	if m.now < from || (m.now-from)%each != 0 {
		return
	}
	if n := int((m.now - from) / each); n < min(routers, len(m.routers)) {
		m.stop(m.routers[n])
	}
}
