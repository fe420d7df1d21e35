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

// change is what the store tells of a change: servers of a version, a record, the process of a router that joined, the
// entry of a router that lapsed, or a process that has handed over what it knew.
type change struct {
	at           time.Duration
	added        roster.Version
	removed      roster.Version
	record       *Served
	joined       *registration
	lapsed       *registration
	isHandedOver Life
}

// registration is the process that is registered for a router.
type registration struct {
	router int
	life   Life
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
	// life is that of its process, and peers are the processes that it sees registered, by their routers; members is
	// the number of changes after the last one of those, and knewAllAt when it first read them.
	life      Life
	peers     map[int]Life
	members   int
	knewAllAt time.Duration
	// A planned stop: it begins no stream any more from refusesAt on, hands over what it knew at closesAt, and has ended
	// at endsAt; zero for none.
	refusesAt, closesAt, endsAt time.Duration
	isClosed                    bool
	inheritance                 map[origin.ID]roster.Version
	// isOld means that its process is of the build before, which does not tell processes of a router apart.
	isOld bool
}

func (r *modelRouter) runs(now time.Duration) bool { return r.alive && now >= r.stopUntil }
func (r *modelRouter) takesStreams(now time.Duration) bool {
	return r.runs(now) && (r.refusesAt == 0 || now < r.refusesAt)
}
func (r *modelRouter) isReached(now time.Duration) bool { return r.runs(now) && now >= r.cutUntil }

// model plays routers of one size through releases, kills, cuts and pauses.
type model struct {
	rand *rand.Rand
	// aside draws what only the present build does, so that both builds meet the same troubles.
	aside   *rand.Rand
	now     time.Duration
	routers []*modelRouter
	log     []change
	streams []modelStream
	nextID  origin.ID
	lives   Life
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
	m.lives++
	r.history, r.knows, r.alive, r.life = New(), map[origin.ID]roster.Version{}, true, m.lives
	r.refusesAt, r.closesAt, r.endsAt, r.isClosed, r.inheritance = 0, 0, 0, false, nil
	r.read, r.entryUntil, r.peers = 0, 1<<62, map[int]Life{}
	m.catchUp(r, 0, true)
	r.members, r.knewAllAt = r.read, m.now
	if former, is := r.peers[r.index]; is {
		r.history.RouterEnded(m.wall(), former)
	}
	r.history.Account(m.wall(), r.life)
	r.history.Registered(m.wall())
	m.tell(change{joined: &registration{r.index, r.life}})
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
		case c.isHandedOver != 0:
			if !r.isOld {
				r.history.Account(m.wall(), c.isHandedOver)
			}
		default:
			m.register(r, c, isBeginning)
		}
		if !isBeginning {
			r.history.Review(m.wall())
		}
	}
	r.history.Review(m.wall())
	r.confirmedAt = m.now - lag
	r.history.Confirm(start.Add(r.confirmedAt))
}

// register lets the router see which process is registered for another one, or none any more.
func (m *model) register(r *modelRouter, c change, isBeginning bool) {
	one := c.joined
	if one == nil {
		one = c.lapsed
	}
	former, isKnown := r.peers[one.router]
	switch {
	case isBeginning || !isKnown:
	case c.lapsed != nil:
		r.history.RouterGone(m.wall())
	case former != one.life && !r.isOld:
		r.history.RouterEnded(m.wall(), former)
	}
	r.members = r.read
	if c.joined != nil {
		r.peers[one.router] = one.life
	} else {
		delete(r.peers, one.router)
	}
}

// step lets each router do what it does in one step.
func (m *model) step() {
	for _, r := range m.routers {
		if !r.alive && r.beginsAt > 0 && m.now >= r.beginsAt {
			m.begin(r)
		}
		if !r.alive && m.now >= r.entryUntil {
			r.entryUntil = 1 << 62
			m.tell(change{lapsed: &registration{r.index, 0}})
		}
		m.stopStep(r)
		if r.isReached(m.now) {
			m.catchUp(r, r.lag, false)
			m.takeOver(r)
			for _, record := range r.history.ToStore(m.wall(), func(string) int { return m.turn(r) }) {
				r.history.Stored(m.wall(), record)
				m.tell(change{record: &record})
			}
		}
	}
	for range 3 {
		if r := m.routers[m.rand.IntN(len(m.routers))]; r.takesStreams(m.now) {
			m.beginStream(r)
		}
	}
	m.streams = slices.DeleteFunc(m.streams, func(s modelStream) bool {
		r := m.routers[m.rand.IntN(len(m.routers))]
		if m.now < s.backAt || !r.takesStreams(m.now) {
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
	if v, isKnown := r.knows[s.id]; isKnown {
		one.Knowledge, one.Origin = continuation.Known, origin.Origin{Service: "app", Version: v}
	}
	asked, isAll := m.asked(r, m.rand)
	var said []Statement
	for _, other := range asked {
		if !other.isReached(m.now) || !r.isReached(m.now) {
			if one.Knowledge == continuation.Unknown {
				one.Knowledge = continuation.Unanswered
			}
			continue
		}
		if v, isKnown := other.knows[s.id]; isKnown {
			one.Knowledge, one.Origin = continuation.Known, origin.Origin{Service: "app", Version: v}
		}
		isMixed := other.history.IsMixed(m.wall(), "app")
		one.MixedElsewhere = one.MixedElsewhere || isMixed
		if isMixed {
			said = append(said, r.hears(other))
		} else {
			said = append(said, Statement{})
		}
	}
	if one.Knowledge == continuation.Unknown && isAll && !m.isBefore {
		proven, conclusion := r.concludes(said)
		one.Proven = proven
		if conclusion == OutOfStep {
			one.Knowledge = continuation.Unanswered
		}
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

// asked returns the routers that the router asks, and whether these are all that it sees: all of a small fleet.
func (m *model) asked(r *modelRouter, draws *rand.Rand) ([]*modelRouter, bool) {
	var out []*modelRouter
	for _, other := range m.routers {
		if _, is := r.peers[other.index]; is && other != r {
			out = append(out, other)
		}
	}
	if len(out) <= 15 {
		return out, true
	}
	draws.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:7], false
}

// kill ends the router's process; another one begins after the pause, of the new build.
func (m *model) kill(r *modelRouter, pause time.Duration) {
	if r.alive {
		r.alive, r.beginsAt, r.entryUntil, r.isOld = false, m.now+pause, m.now+lapse, false
	}
}

// newModel starts the routers before servers of the first version.
func newModel(seed uint64, routers int, isBefore bool) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, uint64(routers))), aside: rand.New(rand.NewPCG(seed, 1)), isBefore: isBefore}
	for range 4 {
		m.tell(change{added: "v1"})
	}
	for i := range routers {
		r := &modelRouter{index: i, lag: time.Duration(m.rand.Int64N(int64(400 * time.Millisecond)))}
		// In some plays a part of the routers are of the build before, until they begin anew.
		r.isOld = seed%5 == 4 && i%2 == 0
		m.routers = append(m.routers, r)
		m.begin(r)
	}
	return m
}

// trouble draws what happens to single routers in one step.
func (m *model) trouble() {
	some := m.routers[m.rand.IntN(len(m.routers))]
	switch m.rand.IntN(80) {
	case 0:
		some.cutUntil = m.now + time.Duration(m.rand.Int64N(int64(5*time.Second)))
	case 1:
		some.stopUntil = m.now + time.Duration(m.rand.Int64N(int64(4*time.Second)))
	case 2:
		m.kill(some, 500*time.Millisecond)
	case 3, 4:
		m.stop(some)
	case 5:
		// Each that stops is killed while it does.
		for _, r := range m.routers {
			if r.refusesAt > 0 {
				m.kill(r, 500*time.Millisecond)
			}
		}
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
// others or beside it random troubles of single ones, or restarts in turn.
func play(seed uint64, routers int, isBefore bool) *model {
	m := newModel(seed, routers, isBefore)
	const releaseAt = 6 * time.Second
	killAt := releaseAt + time.Duration(m.rand.IntN(200)-100)*modelStep
	stopsAt := releaseAt + time.Duration(m.rand.IntN(100)-20)*modelStep
	isCalm := seed%2 == 0
	for m.now = modelStep; m.now < modelTime; m.now += modelStep {
		if m.now == killAt && seed%4 < 2 {
			for _, r := range m.routers {
				m.kill(r, time.Duration(300+m.rand.IntN(500))*time.Millisecond)
			}
		}
		m.step()
		if seed%3 == 0 {
			m.restartInTurn(stopsAt, 1+int(seed)%5)
		}
		if !isCalm {
			m.trouble()
		}
		m.release(releaseAt, !isCalm)
	}
	return m
}

// Guards against streams that all go on nowhere since routers are stopped and started in turn, as planned, in a release
// before which all were killed: what began at the further version is known, and the rest began at the first one.
func TestStreamsGoOnWhereRoutersAreRestartedInTurnInARelease(t *testing.T) {
	for _, routers := range []int{3, 5, 12} {
		for restarted := range routers + 1 {
			var joined, went, came int
			for seed := range uint64(20) {
				m := newModel(10+5*seed, routers, false)
				const releaseAt = 6 * time.Second
				for m.now = modelStep; m.now < modelTime; m.now += modelStep {
					if m.now == releaseAt-time.Second {
						for _, r := range m.routers {
							m.kill(r, 500*time.Millisecond)
						}
					}
					m.step()
					m.restartInTurn(releaseAt+time.Second, restarted)
					m.release(releaseAt, false)
				}
				joined, went, came = joined+m.joined, went+m.went, came+m.went+m.refused+m.joined
			}
			t.Logf("%d of %d routers are restarted: joined %d, %d of %d go on", restarted, routers, joined, went, came)
			qt.Check(t, joined, qt.Equals, 0)
			qt.Check(t, 2*went >= came, qt.IsTrue)
		}
	}
}

// Guards against streams that go on at another version at a router out of step, or by a proof that does not
// hold: routers of each size, a release, kills of all and of single routers, cuts, pauses, planned stops whole and cut
// short, and restarts in turn, at random.
func TestNoStreamIsJoinedAroundARelease(t *testing.T) {
	for _, routers := range []int{2, 3, 5, 12, 17, 103, 800} {
		seeds := uint64(120)
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
