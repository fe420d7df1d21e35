package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/internal/virtualtime"
	"goldcrestport/coordination/roster"
)

// Figures of the modelled fleet. A router tells the others every 20 ms, or 200 times a
// second in all when they are more.
const (
	fleetService = "app"
	fleetHop     = time.Millisecond
	fleetTime    = 12 * time.Second
	fleetSlots   = 8
	// fleetLoss is the part of messages between routers that is lost.
	fleetLoss = 0.05
)

// modelServer is one process of a server. What it says is decided by the fates.
type modelServer struct {
	entry roster.Server
	// leaves is from when it says that it leaves; zero: never.
	leaves time.Time
	// sheds are the spans in which it turns requests away.
	sheds [][2]time.Time
	gone  bool
}

// said is what a router heard of a server: when it said that it leaves, and until when
// it wants no requests; and the request that tries it then.
type said struct {
	leaving, end time.Time
	trial        *Run
	tried        time.Time
}

// modelRouter is one router with the decisions that direct routers use.
type modelRouter struct {
	state  *State
	roster *roster.Roster
	life   int
	heard  map[string]*said
	// joined is since when a server may get work, and telling since when each of its
	// messages names one that leaves.
	joined  map[string]time.Time
	telling map[ServerID]time.Time
}

// modelFleet is the fleet with what went wrong.
type modelFleet struct {
	t *testing.T
	r *rand.Rand
	virtualtime.Queue
	routers []*modelRouter
	servers map[string]*modelServer
	// stored is what the store holds; deaf tells that it answers nobody.
	stored map[string]roster.Server
	deaf   bool
	period time.Duration
	// allShed tells that every server turns requests away.
	allShed bool

	sent, served, refused, late, resting, idle, untold int
}

func (f *modelFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.r.Int64N(int64(high-low)))
}

func newModelFleet(t *testing.T, seed uint64, routers, servers int, allShed bool) *modelFleet {
	f := &modelFleet{
		t: t, r: rand.New(rand.NewPCG(seed, 7)), Queue: virtualtime.Queue{Now: epoch}, servers: map[string]*modelServer{}, stored: map[string]roster.Server{},
		allShed: allShed, period: max(20*time.Millisecond, time.Duration(routers)*time.Second/200),
	}
	for i := range servers {
		f.startServer(fmt.Sprintf("i-%03d", i), roster.Incarnation(i%2))
	}
	for range routers {
		m := &modelRouter{}
		f.routers = append(f.routers, m)
		f.startRouter(m)
		f.After(f.between(0, f.period), func() { f.tell(m) })
		f.After(f.between(0, time.Second), func() { f.ask(m) })
		f.After(f.between(0, 200*time.Millisecond), func() { f.tick(m) })
	}
	f.After(3*time.Second, func() { f.setDeaf(true) })
	f.After(7*time.Second, func() { f.setDeaf(false) })
	f.After(time.Second, f.flap)
	return f
}

// flap lets one entry lapse at all routers and come back, with what is known of it.
func (f *modelFleet) flap() {
	f.After(f.between(0, 300*time.Millisecond), f.flap)
	all := f.listing()
	if f.deaf || len(all) == 0 {
		return
	}
	entry := all[f.r.IntN(len(all))]
	for _, m := range f.routers {
		f.apply(m, m.roster.Remove(f.Now, entry.ID))
		f.After(f.between(0, 20*time.Millisecond), func() { f.apply(m, m.roster.Put(entry)) })
	}
}

// startServer begins a process: a third of them leaves, a third turns requests away.
func (f *modelFleet) startServer(id string, incarnation roster.Incarnation) {
	one := &modelServer{entry: roster.Server{ID: id, Incarnation: incarnation, Service: fleetService, Slots: fleetSlots}}
	f.servers[one.entry.Identity()] = one
	fate := f.r.IntN(3)
	if f.allShed {
		fate = 1
	}
	switch fate {
	case 0:
		one.leaves = f.Now.Add(f.between(0, fleetTime))
		f.After(one.leaves.Sub(f.Now)+f.between(0, 4*time.Second), func() { f.leave(one) })
	case 1:
		for at := f.Now.Add(f.between(0, 4*time.Second)); at.Before(f.Now.Add(fleetTime)); at = at.Add(f.between(2*time.Second, 8*time.Second)) {
			one.sheds = append(one.sheds, [2]time.Time{at, at.Add(f.between(0, 2*time.Second))})
		}
	}
	f.store(one.entry)
}

// store writes an entry, which nobody can while the store is deaf.
func (f *modelFleet) store(entry roster.Server) {
	if f.deaf {
		f.After(500*time.Millisecond, func() { f.store(entry) })
		return
	}
	f.stored[entry.ID] = entry
	for _, m := range f.routers {
		f.After(f.between(fleetHop, 50*time.Millisecond), func() { f.apply(m, m.roster.Put(entry)) })
	}
}

// leave ends a process that leaves. Sometimes another one starts under its id, or its
// entry, as it was, comes back by a late write.
func (f *modelFleet) leave(one *modelServer) {
	one.gone = true
	if !f.deaf {
		delete(f.stored, one.entry.ID)
		for _, m := range f.routers {
			f.After(f.between(fleetHop, 50*time.Millisecond), func() { f.apply(m, m.roster.Remove(f.Now, one.entry.ID)) })
		}
	}
	switch {
	case one.entry.Incarnation != 0 && f.r.IntN(2) == 0:
		f.startServer(one.entry.ID, one.entry.Incarnation+100)
	case f.r.IntN(2) == 0:
		f.After(f.between(0, 2*time.Second), func() { f.store(one.entry) })
	}
}

// setDeaf ends or begins an outage. Entries lapse in it, and routers read all anew
// after it: what is listed is older than what servers said.
func (f *modelFleet) setDeaf(deaf bool) {
	f.deaf = deaf
	for _, m := range f.routers {
		if deaf {
			m.roster.StoreLost()
			continue
		}
		m.roster.StoreBack(f.Now)
		listed := slices.DeleteFunc(f.listing(), func(roster.Server) bool { return f.r.IntN(4) == 0 })
		f.apply(m, m.roster.Replace(f.Now, listed))
	}
}

// listing returns the entries in the store.
func (f *modelFleet) listing() []roster.Server {
	return slices.SortedFunc(maps.Values(f.stored), func(a, b roster.Server) int { return strings.Compare(a.ID, b.ID) })
}

// startRouter begins a router's life, which knows what the store holds and no more.
func (f *modelFleet) startRouter(m *modelRouter) {
	m.life++
	m.state, m.roster, m.heard = New(DefaultConfig()), roster.New(roster.DefaultConfig()), map[string]*said{}
	m.joined, m.telling = map[string]time.Time{}, map[ServerID]time.Time{}
	m.state.SetRouters(len(f.routers))
	for _, entry := range f.listing() {
		f.apply(m, m.roster.Put(entry))
	}
}

func (f *modelFleet) apply(m *modelRouter, changes []roster.Change) {
	for _, c := range changes {
		if c.Usable {
			m.joined[c.Server.Identity()] = f.Now
			m.state.Add(c.Server.ID, c.Server.Incarnation, c.Server.Service, "", c.Server.Slots)
		} else {
			m.state.Remove(c.Server.ID)
		}
	}
}

// tick ends what lapses. A router starts again now and then.
func (f *modelFleet) tick(m *modelRouter) {
	if f.r.IntN(200) == 0 {
		f.startRouter(m)
	}
	f.apply(m, m.roster.Tick(f.Now))
	m.state.Tick(f.Now)
	f.After(200*time.Millisecond, func() { f.tick(m) })
}

// tell sends the router's word on servers that leave to all others.
func (f *modelFleet) tell(m *modelRouter) {
	f.After(f.period, func() { f.tell(m) })
	var words []ServerID
	for _, one := range m.roster.Leaving() {
		words = append(words, NumberOf(one.ID, one.Incarnation))
	}
	maps.DeleteFunc(m.telling, func(number ServerID, _ time.Time) bool { return !slices.Contains(words, number) })
	for _, number := range words {
		if _, tells := m.telling[number]; !tells {
			m.telling[number] = f.Now
		}
	}
	if len(words) == 0 {
		return
	}
	for _, other := range f.routers {
		if other != m && f.r.Float64() >= fleetLoss {
			f.After(fleetHop, func() { f.told(other, words) })
		}
	}
}

func (f *modelFleet) told(m *modelRouter, words []ServerID) {
	for _, number := range words {
		if id, incarnation, known := m.state.Numbered(number); known {
			f.apply(m, m.roster.Told(f.Now, id, incarnation))
		}
	}
}

// ask places one request, and the next one a moment later.
func (f *modelFleet) ask(m *modelRouter) {
	f.After(f.between(0, 400*time.Millisecond), func() { f.ask(m) })
	d := m.state.Place(f.Now, Request{Service: fleetService})
	if d.Verdict != Send {
		f.refused++
		f.checkRefusal(m, d)
		return
	}
	one := f.servers[roster.Identity(d.Run.Server(), d.Run.Incarnation())]
	f.checkSend(m, one)
	if heard := m.heard[one.entry.Identity()]; heard != nil && d.SinceBackoff >= 0 {
		heard.trial, heard.tried = d.Run, f.Now
	}
	f.sent++
	life := m.life
	f.After(fleetHop, func() { f.arrive(m, life, one, d.Run) })
}

// checkSend looks whether the router sends what it should not.
func (f *modelFleet) checkSend(m *modelRouter, one *modelServer) {
	heard := m.heard[one.entry.Identity()]
	if heard == nil {
		if f.wasTold(m, one) {
			f.untold++
			f.t.Errorf("%v: a server gets work of which others say that it leaves", f.Now.Sub(epoch))
		}
		return
	}
	if !heard.leaving.IsZero() {
		f.late++
		f.t.Errorf("%v: a server that left gets work, %v after it said so", f.Now.Sub(epoch), f.Now.Sub(heard.leaving))
	}
	if f.Now.Before(heard.end) {
		f.resting++
		f.t.Errorf("%v: a server gets work, %v before the end of its time", f.Now.Sub(epoch), heard.end.Sub(f.Now))
	}
}

// toldWithin is the number of messages in which another router's word arrives: the part
// that is lost seven times in a row is one of a billion.
const toldWithin = 7

// wasTold reports whether another router has been saying for long that the server
// leaves.
func (f *modelFleet) wasTold(m *modelRouter, one *modelServer) bool {
	bound := f.Now.Add(-toldWithin * f.period)
	if m.joined[one.entry.Identity()].After(bound) {
		return false
	}
	number := NumberOf(one.entry.ID, one.entry.Incarnation)
	for _, other := range f.routers {
		if since, tells := other.telling[number]; tells && other != m && !since.After(bound) {
			return true
		}
	}
	return false
}

// checkRefusal looks whether the router refuses though a server may get work: none is
// kept idle for longer than it asked, but for a trial.
func (f *modelFleet) checkRefusal(m *modelRouter, d Decision) {
	for id, one := range m.state.servers {
		heard := m.heard[one.identity]
		if heard == nil || !f.Now.Before(heard.end) && (heard.trial == nil || f.Now.Sub(heard.tried) >= m.state.cfg.Backoff.ProbeTime) {
			f.idle++
			f.t.Errorf("%v: refused (%s), though nothing is known against %s", f.Now.Sub(epoch), d.Reason, id)
		}
	}
}

// arrive is the request at its server.
func (f *modelFleet) arrive(m *modelRouter, life int, one *modelServer, run *Run) {
	took := f.between(5*time.Millisecond, 60*time.Millisecond)
	sheds := false
	for _, span := range one.sheds {
		sheds = sheds || !f.Now.Before(span[0]) && f.Now.Before(span[1])
	}
	leaves := !one.leaves.IsZero() && !f.Now.Before(one.leaves)
	if one.gone {
		took = 0
	}
	f.After(took+fleetHop, func() {
		if m.life == life {
			f.answer(m, one, run, leaves && !one.gone, sheds)
		}
	})
}

// answer is what the router hears.
func (f *modelFleet) answer(m *modelRouter, one *modelServer, run *Run, leaves, sheds bool) {
	identity := one.entry.Identity()
	if m.heard[identity] == nil {
		m.heard[identity] = &said{}
	}
	heard := m.heard[identity]
	if heard.trial == run {
		heard.trial = nil
	}
	if leaves {
		if heard.leaving.IsZero() {
			heard.leaving = f.Now
		}
		f.apply(m, m.roster.Announced(one.entry.ID, one.entry.Incarnation))
	}
	if sheds {
		asked := f.between(50*time.Millisecond, 4*time.Second)
		m.state.BackOff(f.Now, run, asked)
		if end := f.Now.Add(asked); end.After(heard.end) {
			heard.end = end
		}
		heard.trial = nil
	} else if !one.gone {
		m.state.FirstByte(f.Now, run)
		f.served++
	}
	m.state.Ended(f.Now, run, 0)
}

func (f *modelFleet) run() { f.RunUntil(epoch.Add(fleetTime)) }

// Fleets of any size before servers that leave unheard by the store, turn requests away
// for a time again and again, start again under their ids, and whose entries are listed
// anew as they were: no router sends to one that told it so, none keeps a server idle
// for longer than it asked, and the others hear who leaves.
func TestFleetsObeyWhatServersSay(t *testing.T) {
	for routers, servers := range map[int]int{3: 12, 30: 30, 103: 40, 300: 40, 800: 60} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d routers, seed %d", routers, seed), func(t *testing.T) {
				t.Parallel()
				f := newModelFleet(t, seed, routers, servers, false)
				f.run()
				t.Logf("%d sent, %d served, %d refused", f.sent, f.served, f.refused)
				qt.Check(t, f.served > f.sent/2, qt.IsTrue)
				qt.Check(t, f.late+f.resting+f.idle+f.untold, qt.Equals, 0)
			})
		}
	}
}

// All servers of a service turn everything away by turns: nothing reaches one in its
// time, and nobody is refused while one may get work.
func TestFleetsObeyAServiceThatTurnsAllAway(t *testing.T) {
	refused := 0
	for seed := range uint64(5) {
		f := newModelFleet(t, seed, 30, 3, true)
		f.run()
		t.Logf("%d sent, %d served, %d refused", f.sent, f.served, f.refused)
		qt.Check(t, f.served > f.sent/2, qt.IsTrue)
		qt.Check(t, f.resting+f.idle, qt.Equals, 0)
		refused += f.refused
	}
	qt.Check(t, refused > 0, qt.IsTrue)
}
