package versions

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/continuation"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
)

// Times of the model.
const (
	modelStep = 50 * time.Millisecond
	modelTime = 24 * time.Second
	// staleAfter is the age from which a view is not acted on; lapse is when a killed router's entry goes.
	staleAfter = 1800 * time.Millisecond
	lapse      = 3 * time.Second
	// breaksAfter and waits bound when a stream breaks off and how long its caller waits until it comes back.
	breaksAfter = 3 * time.Second
	waits       = 8 * time.Second
	// soon is how long it takes at most for half of the streams.
	soon = 500 * time.Millisecond
)

// change is what the store tells of a change: servers of a version, a record, or a router that joined or left.
type change struct {
	at            time.Duration
	added         roster.Version
	removed       roster.Version
	record        *Served
	joined, ended bool
}

// modelStream is a stream: its version, and when its caller comes back.
type modelStream struct {
	id      origin.ID
	version roster.Version
	backAt  time.Duration
}

// modelRouter is a router: its process, and what keeps it from the others.
type modelRouter struct {
	index    int
	history  *History
	alive    bool
	beginsAt time.Duration
	// read is the number of changes of the store that it has applied, lag how old they are as they come.
	read                int
	lag                 time.Duration
	knows               map[origin.ID]roster.Version
	confirmedAt         time.Duration
	cutUntil, stopUntil time.Duration
	entryUntil          time.Duration
}

func (r *modelRouter) runs(now time.Duration) bool      { return r.alive && now >= r.stopUntil }
func (r *modelRouter) isReached(now time.Duration) bool { return r.runs(now) && now >= r.cutUntil }

// model plays routers of one size through releases, kills, cuts and pauses.
type model struct {
	rand    *rand.Rand
	now     time.Duration
	routers []*modelRouter
	log     []change
	streams []modelStream
	nextID  origin.ID
	// isBefore plays routers that begin streams at a version at once and prove nothing.
	isBefore       bool
	joined         int
	went, refused  int
	atFurther, new int
}

func (m *model) wall() time.Time { return start.Add(m.now) }

func (m *model) tell(c change) {
	c.at = m.now
	m.log = append(m.log, c)
}

// begin starts a process of the router, which reads all that the store has.
func (m *model) begin(r *modelRouter) {
	isFirst := r.entryUntil == 0
	r.history, r.knows, r.alive = New(), map[origin.ID]roster.Version{}, true
	r.read, r.entryUntil = 0, 1<<62
	m.catchUp(r, 0, true)
	if !isFirst {
		m.tell(change{joined: true})
		r.read = len(m.log)
	}
}

// catchUp applies the changes of the store that are old enough.
func (m *model) catchUp(r *modelRouter, lag time.Duration, isBeginning bool) {
	for r.read < len(m.log) && m.log[r.read].at+lag <= m.now {
		c := m.log[r.read]
		r.read++
		switch {
		case c.added != "":
			r.history.Add("app", c.added)
		case c.removed != "":
			r.history.Remove(m.wall(), "app", c.removed)
		case c.record != nil:
			r.history.Stored(m.wall(), *c.record)
		case !isBeginning:
			r.history.RouterEnded(m.wall())
		}
		if !isBeginning {
			r.history.Review(m.wall())
		}
	}
	r.history.Review(m.wall())
	r.confirmedAt = m.now - lag
	r.history.Confirm(start.Add(r.confirmedAt))
}

// step lets each router do what it does in one step.
func (m *model) step() {
	for _, r := range m.routers {
		if !r.alive && r.beginsAt > 0 && m.now >= r.beginsAt {
			m.begin(r)
		}
		if !r.alive && m.now >= r.entryUntil {
			r.entryUntil = 1 << 62
			m.tell(change{ended: true})
		}
		if r.isReached(m.now) {
			m.catchUp(r, r.lag, false)
			for _, record := range r.history.ToStore(m.wall(), func(string) int { return m.turn(r) }) {
				r.history.Stored(m.wall(), record)
				m.tell(change{record: &record})
			}
		}
	}
	for range 3 {
		if r := m.routers[m.rand.IntN(len(m.routers))]; r.runs(m.now) {
			m.beginStream(r)
		}
	}
	m.streams = slices.DeleteFunc(m.streams, func(s modelStream) bool {
		r := m.routers[m.rand.IntN(len(m.routers))]
		if m.now < s.backAt || !r.runs(m.now) {
			return false
		}
		m.resume(r, s)
		return true
	})
}

// turn is the router's place among those whose entries have not lapsed.
func (m *model) turn(r *modelRouter) int {
	turn := 0
	for _, other := range m.routers[:r.index] {
		if other.alive || m.now < other.entryUntil {
			turn++
		}
	}
	return turn
}

// beginStream begins a stream at a router, which is what others are not told of: the worst case.
func (m *model) beginStream(r *modelRouter) {
	serving := r.history.Serving("app")
	if len(serving) == 0 {
		return
	}
	v := serving[m.rand.IntN(len(serving))]
	if first, is := r.history.Introducing("app"); is && !m.isBefore {
		v = first
	}
	m.new++
	if v != "v1" {
		m.atFurther++
	}
	m.nextID++
	r.knows[m.nextID] = v
	back := breaksAfter + waits
	if m.rand.IntN(2) == 0 {
		back = soon
	}
	m.streams = append(m.streams, modelStream{m.nextID, v, m.now + modelStep + time.Duration(m.rand.Int64N(int64(back)))})
}

// resume takes the stream up at the router, which asks the others that it may ask.
func (m *model) resume(r *modelRouter, s modelStream) {
	recent := r.history.Recent(m.wall(), "app")
	one := continuation.Stream{Services: []string{"app"}, Serving: r.history.Serving("app"), Recent: recent, Knowledge: continuation.Unknown}
	one.IsCurrent = m.now-r.confirmedAt <= staleAfter
	if len(m.routers) <= 16 {
		one.Proven, _ = r.history.Proven("app")
	}
	for _, other := range m.asked(r) {
		v, isKnown := other.knows[s.id]
		switch {
		case other == r && isKnown, isKnown && other.isReached(m.now) && r.isReached(m.now):
			one.Knowledge, one.Origin = continuation.Known, origin.Origin{Service: "app", Version: v}
		case other != r && (!other.isReached(m.now) || !r.isReached(m.now)):
			if one.Knowledge == continuation.Unknown && (other.alive || m.now < other.entryUntil) {
				one.Knowledge = continuation.Unanswered
			}
		default:
			one.MixedElsewhere = one.MixedElsewhere || other.history.IsMixed(m.wall(), "app")
			if p, _ := other.history.Proven("app"); p != one.Proven {
				one.Proven = ""
			}
		}
	}
	if m.isBefore {
		one.Proven = ""
	}
	d := continuation.Decide(one)
	switch {
	case d.Reason != continuation.ReasonNone:
		m.refused++
	case d.Bound.Version != s.version:
		m.joined++
	default:
		m.went++
	}
}

// asked returns the router and those that it asks: all of a small fleet.
func (m *model) asked(r *modelRouter) []*modelRouter {
	if len(m.routers) <= 16 {
		return m.routers
	}
	out := []*modelRouter{r}
	for range 7 {
		out = append(out, m.routers[m.rand.IntN(len(m.routers))])
	}
	return out
}

// kill ends the router's process; another one begins after the pause.
func (m *model) kill(r *modelRouter, pause time.Duration) {
	if r.alive {
		r.alive, r.beginsAt, r.entryUntil = false, m.now+pause, m.now+lapse
	}
}

// newModel starts the routers before servers of the first version.
func newModel(seed uint64, routers int, isBefore bool) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, uint64(routers))), isBefore: isBefore}
	for range 4 {
		m.tell(change{added: "v1"})
	}
	for i := range routers {
		r := &modelRouter{index: i, lag: time.Duration(m.rand.Int64N(int64(400 * time.Millisecond)))}
		m.routers = append(m.routers, r)
		m.begin(r)
	}
	return m
}

// trouble draws what happens to single routers in one step.
func (m *model) trouble() {
	some := m.routers[m.rand.IntN(len(m.routers))]
	switch m.rand.IntN(60) {
	case 0:
		some.cutUntil = m.now + time.Duration(m.rand.Int64N(int64(5*time.Second)))
	case 1:
		some.stopUntil = m.now + time.Duration(m.rand.Int64N(int64(4*time.Second)))
	case 2:
		m.kill(some, 500*time.Millisecond)
	}
}

// release adds servers of a further version from the given time on, and may take them away again.
func (m *model) release(from time.Duration, mayRollBack bool) {
	switch m.now {
	case from, from + 400*time.Millisecond:
		m.tell(change{added: "v2"})
	case from + 6*time.Second:
		if mayRollBack && m.rand.IntN(2) == 0 {
			m.tell(change{removed: "v2"})
			m.tell(change{removed: "v2"})
		}
	}
}

// play plays one seed: a release, in half of the plays all routers killed at one moment around it, and in the
// others or beside it random troubles of single ones.
func play(seed uint64, routers int, isBefore bool) *model {
	m := newModel(seed, routers, isBefore)
	const releaseAt = 6 * time.Second
	killAt := releaseAt + time.Duration(m.rand.IntN(200)-100)*modelStep
	isCalm := seed%2 == 0
	for m.now = modelStep; m.now < modelTime; m.now += modelStep {
		if m.now == killAt && seed%4 < 2 {
			for _, r := range m.routers {
				m.kill(r, time.Duration(300+m.rand.IntN(500))*time.Millisecond)
			}
		}
		m.step()
		if !isCalm {
			m.trouble()
		}
		m.release(releaseAt, !isCalm)
	}
	return m
}

// Guards against streams that go on at another version at a router out of step, or by a proof that does not
// hold: routers of each size, a release, kills of all and of single routers, cuts and pauses, at random.
func TestNoStreamIsJoinedAroundARelease(t *testing.T) {
	for _, routers := range []int{3, 5, 12, 17, 103, 800} {
		seeds := uint64(80)
		if routers > 100 {
			seeds = 12
		}
		var joinedBefore, joined int
		var went, wentBefore, came, further int
		for seed := range seeds {
			before, now := play(seed, routers, true), play(seed, routers, false)
			joinedBefore, joined = joinedBefore+before.joined, joined+now.joined
			wentBefore, went = wentBefore+before.went, went+now.went
			came, further = came+now.went+now.refused+now.joined, further+now.atFurther
		}
		t.Logf("%d routers: joined %d (before: %d), %d of %d resumed go on (before: %d), %d began at the further version",
			routers, joined, joinedBefore, went, came, wentBefore, further)
		qt.Check(t, joined, qt.Equals, 0)
		qt.Check(t, went >= wentBefore, qt.IsTrue)
		qt.Check(t, further > 0, qt.IsTrue)
	}
}
