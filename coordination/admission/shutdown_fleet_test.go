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

// Parameters of the simulated fleet. A router sends a digest every 20 ms, or less
// often in large fleets, so that all routers together send 200 per second.
const (
	fleetService = "app"
	fleetHop     = time.Millisecond
	fleetTime    = 12 * time.Second
	fleetSlots   = 8
	// fleetLoss is the fraction of messages between routers that is lost.
	fleetLoss = 0.05
)

// simServer is one process of a server.
type simServer struct {
	entry roster.Server
	// shutdownAt is when it starts to announce its shutdown; zero: never.
	shutdownAt time.Time
	// refusing holds the intervals in which it refuses requests.
	refusing [][2]time.Time
	gone     bool
}

// serverView is what a router received from a server: when it first announced its
// shutdown, the end of the back-off that it requested, and the request that probes
// it after that.
type serverView struct {
	shutdownSince, backoffEnd time.Time
	probe                     *Run
	probedAt                  time.Time
}

// simRouter is one router with the components that make the decisions of a direct
// router.
type simRouter struct {
	state       *State
	roster      *roster.Roster
	incarnation int
	views       map[string]*serverView
	// joined is when a server became usable, and announcing since when each message
	// of the router reports that a server is shutting down.
	joined     map[string]time.Time
	announcing map[ServerID]time.Time
}

// simFleet is the simulated fleet with the counts of violations.
type simFleet struct {
	t *testing.T
	r *rand.Rand
	virtualtime.Queue
	routers []*simRouter
	servers map[string]*simServer
	// stored is the content of the store. storeDown is set while the store answers
	// nobody.
	stored    map[string]roster.Server
	storeDown bool
	period    time.Duration
	// allRefuse is set if every server refuses requests at times.
	allRefuse bool

	sent, served, refused, afterShutdown, duringBackoff, idle, afterReport int
}

func (f *simFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.r.Int64N(int64(high-low)))
}

func newSimFleet(t *testing.T, seed uint64, routers, servers int, allRefuse bool) *simFleet {
	f := &simFleet{
		t: t, r: rand.New(rand.NewPCG(seed, 7)), Queue: virtualtime.Queue{Now: epoch}, servers: map[string]*simServer{}, stored: map[string]roster.Server{},
		allRefuse: allRefuse, period: max(20*time.Millisecond, time.Duration(routers)*time.Second/200),
	}
	for i := range servers {
		f.startServer(fmt.Sprintf("i-%03d", i), roster.Incarnation(i%2))
	}
	for range routers {
		m := &simRouter{}
		f.routers = append(f.routers, m)
		f.startRouter(m)
		f.After(f.between(0, f.period), func() { f.gossip(m) })
		f.After(f.between(0, time.Second), func() { f.placeNext(m) })
		f.After(f.between(0, 200*time.Millisecond), func() { f.tick(m) })
	}
	f.After(3*time.Second, func() { f.setStoreDown(true) })
	f.After(7*time.Second, func() { f.setStoreDown(false) })
	f.After(time.Second, f.flap)
	return f
}

// flap removes one entry at all routers and adds it again unchanged.
func (f *simFleet) flap() {
	f.After(f.between(0, 300*time.Millisecond), f.flap)
	all := f.listing()
	if f.storeDown || len(all) == 0 {
		return
	}
	entry := all[f.r.IntN(len(all))]
	for _, m := range f.routers {
		f.apply(m, m.roster.Remove(f.Now, entry.ID))
		f.After(f.between(0, 20*time.Millisecond), func() { f.apply(m, m.roster.Put(entry)) })
	}
}

// startServer starts a process: a third of them shut down, a third refuse requests
// at times.
func (f *simFleet) startServer(id string, incarnation roster.Incarnation) {
	srv := &simServer{entry: roster.Server{ID: id, Incarnation: incarnation, Service: fleetService, Slots: fleetSlots}}
	f.servers[srv.entry.Identity()] = srv
	fate := f.r.IntN(3)
	if f.allRefuse {
		fate = 1
	}
	switch fate {
	case 0:
		srv.shutdownAt = f.Now.Add(f.between(0, fleetTime))
		f.After(srv.shutdownAt.Sub(f.Now)+f.between(0, 4*time.Second), func() { f.shutDown(srv) })
	case 1:
		for at := f.Now.Add(f.between(0, 4*time.Second)); at.Before(f.Now.Add(fleetTime)); at = at.Add(f.between(2*time.Second, 8*time.Second)) {
			srv.refusing = append(srv.refusing, [2]time.Time{at, at.Add(f.between(0, 2*time.Second))})
		}
	}
	f.store(srv.entry)
}

// store writes an entry. While the store is down it retries.
func (f *simFleet) store(entry roster.Server) {
	if f.storeDown {
		f.After(500*time.Millisecond, func() { f.store(entry) })
		return
	}
	f.stored[entry.ID] = entry
	for _, m := range f.routers {
		f.After(f.between(fleetHop, 50*time.Millisecond), func() { f.apply(m, m.roster.Put(entry)) })
	}
}

// shutDown ends a process that is shutting down. Sometimes another one starts with
// its id, or its unchanged entry is written again late.
func (f *simFleet) shutDown(srv *simServer) {
	srv.gone = true
	if !f.storeDown {
		delete(f.stored, srv.entry.ID)
		for _, m := range f.routers {
			f.After(f.between(fleetHop, 50*time.Millisecond), func() { f.apply(m, m.roster.Remove(f.Now, srv.entry.ID)) })
		}
	}
	switch {
	case srv.entry.Incarnation != 0 && f.r.IntN(2) == 0:
		f.startServer(srv.entry.ID, srv.entry.Incarnation+100)
	case f.r.IntN(2) == 0:
		f.After(f.between(0, 2*time.Second), func() { f.store(srv.entry) })
	}
}

// setStoreDown starts or ends an outage of the store. Entries expire during the
// outage, and routers read all entries afterwards: that list is older than what
// servers have sent.
func (f *simFleet) setStoreDown(down bool) {
	f.storeDown = down
	for _, m := range f.routers {
		if down {
			m.roster.StoreLost()
			continue
		}
		m.roster.StoreBack(f.Now)
		listed := slices.DeleteFunc(f.listing(), func(roster.Server) bool { return f.r.IntN(4) == 0 })
		f.apply(m, m.roster.Replace(f.Now, listed))
	}
}

// listing returns the entries in the store.
func (f *simFleet) listing() []roster.Server {
	return slices.SortedFunc(maps.Values(f.stored), func(a, b roster.Server) int { return strings.Compare(a.ID, b.ID) })
}

// startRouter starts a router process, which knows only the content of the store.
func (f *simFleet) startRouter(m *simRouter) {
	m.incarnation++
	m.state, m.roster, m.views = New(DefaultConfig()), roster.New(roster.DefaultConfig()), map[string]*serverView{}
	m.joined, m.announcing = map[string]time.Time{}, map[ServerID]time.Time{}
	m.state.SetRouters(len(f.routers))
	for _, entry := range f.listing() {
		f.apply(m, m.roster.Put(entry))
	}
}

func (f *simFleet) apply(m *simRouter, changes []roster.Change) {
	for _, c := range changes {
		if c.Usable {
			m.joined[c.Server.Identity()] = f.Now
			m.state.Add(c.Server.ID, c.Server.Incarnation, c.Server.Service, "", c.Server.Slots)
		} else {
			m.state.Remove(c.Server.ID)
		}
	}
}

// tick removes what has expired. A router restarts now and then.
func (f *simFleet) tick(m *simRouter) {
	if f.r.IntN(200) == 0 {
		f.startRouter(m)
	}
	f.apply(m, m.roster.Tick(f.Now))
	m.state.Tick(f.Now)
	f.After(200*time.Millisecond, func() { f.tick(m) })
}

// gossip sends the servers that are shutting down, as far as the router knows them,
// to all other routers.
func (f *simFleet) gossip(m *simRouter) {
	f.After(f.period, func() { f.gossip(m) })
	var numbers []ServerID
	for _, srv := range m.roster.AnnouncedServers() {
		numbers = append(numbers, NumberOf(srv.ID, srv.Incarnation))
	}
	maps.DeleteFunc(m.announcing, func(number ServerID, _ time.Time) bool { return !slices.Contains(numbers, number) })
	for _, number := range numbers {
		if _, known := m.announcing[number]; !known {
			m.announcing[number] = f.Now
		}
	}
	if len(numbers) == 0 {
		return
	}
	for _, other := range f.routers {
		if other != m && f.r.Float64() >= fleetLoss {
			f.After(fleetHop, func() { f.receiveGossip(other, numbers) })
		}
	}
}

func (f *simFleet) receiveGossip(m *simRouter, numbers []ServerID) {
	for _, number := range numbers {
		if id, incarnation, known := m.state.ServerByNumber(number); known {
			f.apply(m, m.roster.ShutdownReported(f.Now, id, incarnation))
		}
	}
}

// placeNext places one request, and the next one after a short time.
func (f *simFleet) placeNext(m *simRouter) {
	f.After(f.between(0, 400*time.Millisecond), func() { f.placeNext(m) })
	d := m.state.Place(f.Now, Request{Service: fleetService})
	if d.Verdict != Send {
		f.refused++
		f.checkRefusal(m, d)
		return
	}
	srv := f.servers[roster.Identity(d.Run.Server(), d.Run.Incarnation())]
	f.checkSend(m, srv)
	if view := m.views[srv.entry.Identity()]; view != nil && d.SinceBackoff >= 0 {
		view.probe, view.probedAt = d.Run, f.Now
	}
	f.sent++
	incarnation := m.incarnation
	f.After(fleetHop, func() { f.arrive(m, incarnation, srv, d.Run) })
}

// checkSend checks that the router may send to the server.
func (f *simFleet) checkSend(m *simRouter, srv *simServer) {
	view := m.views[srv.entry.Identity()]
	if view == nil {
		if f.wasReported(m, srv) {
			f.afterReport++
			f.t.Errorf("%v: a server gets a request although other routers reported its shutdown", f.Now.Sub(epoch))
		}
		return
	}
	if !view.shutdownSince.IsZero() {
		f.afterShutdown++
		f.t.Errorf("%v: a server gets a request %v after it announced its shutdown", f.Now.Sub(epoch), f.Now.Sub(view.shutdownSince))
	}
	if f.Now.Before(view.backoffEnd) {
		f.duringBackoff++
		f.t.Errorf("%v: a server gets a request %v before the end of its back-off", f.Now.Sub(epoch), view.backoffEnd.Sub(f.Now))
	}
}

// gossipAttempts is the number of messages within which a report from another router
// arrives: the probability that seven in a row are lost is one in a billion.
const gossipAttempts = 7

// wasReported reports whether another router has reported the shutdown of the server
// for so long that the report must have arrived.
func (f *simFleet) wasReported(m *simRouter, srv *simServer) bool {
	bound := f.Now.Add(-gossipAttempts * f.period)
	if m.joined[srv.entry.Identity()].After(bound) {
		return false
	}
	number := NumberOf(srv.entry.ID, srv.entry.Incarnation)
	for _, other := range f.routers {
		if since, announces := other.announcing[number]; announces && other != m && !since.After(bound) {
			return true
		}
	}
	return false
}

// checkRefusal checks that no server accepted requests when the router refused one: a
// server is left idle only during the back-off that it requested and while a request
// that probes it is pending.
func (f *simFleet) checkRefusal(m *simRouter, d Decision) {
	for id, srv := range m.state.servers {
		view := m.views[srv.identity]
		if view == nil || !f.Now.Before(view.backoffEnd) && (view.probe == nil || f.Now.Sub(view.probedAt) >= m.state.cfg.Backoff.ProbeTime) {
			f.idle++
			f.t.Errorf("%v: refused (%s) although %s accepts requests", f.Now.Sub(epoch), d.Reason, id)
		}
	}
}

// arrive handles the arrival of the request at its server.
func (f *simFleet) arrive(m *simRouter, incarnation int, srv *simServer, run *Run) {
	duration := f.between(5*time.Millisecond, 60*time.Millisecond)
	refuses := false
	for _, span := range srv.refusing {
		refuses = refuses || !f.Now.Before(span[0]) && f.Now.Before(span[1])
	}
	shutsDown := !srv.shutdownAt.IsZero() && !f.Now.Before(srv.shutdownAt)
	if srv.gone {
		duration = 0
	}
	f.After(duration+fleetHop, func() {
		if m.incarnation == incarnation {
			f.receive(m, srv, run, shutsDown && !srv.gone, refuses)
		}
	})
}

// receive handles the answer at the router.
func (f *simFleet) receive(m *simRouter, srv *simServer, run *Run, shutsDown, refuses bool) {
	identity := srv.entry.Identity()
	if m.views[identity] == nil {
		m.views[identity] = &serverView{}
	}
	view := m.views[identity]
	if view.probe == run {
		view.probe = nil
	}
	if shutsDown {
		if view.shutdownSince.IsZero() {
			view.shutdownSince = f.Now
		}
		f.apply(m, m.roster.ShutdownAnnounced(srv.entry.ID, srv.entry.Incarnation))
	}
	if refuses {
		requested := f.between(50*time.Millisecond, 4*time.Second)
		m.state.BackoffRequested(f.Now, run, requested)
		if end := f.Now.Add(requested); end.After(view.backoffEnd) {
			view.backoffEnd = end
		}
		view.probe = nil
	} else if !srv.gone {
		m.state.FirstByte(f.Now, run)
		f.served++
	}
	m.state.Ended(f.Now, run, 0)
}

func (f *simFleet) run() { f.RunUntil(epoch.Add(fleetTime)) }

// Simulates fleets of several sizes whose servers shut down without the store
// knowing, refuse requests at times, restart with the same id, and have outdated
// entries written again. Checks that no router sends to a server that announced its
// shutdown to it, that no server is left idle beyond the back-off that it requested,
// and that the other routers receive the announcements.
func TestFleetsRespectShutdownsAndBackoffs(t *testing.T) {
	for routers, servers := range map[int]int{3: 12, 30: 30, 103: 40, 300: 40, 800: 60} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d routers, seed %d", routers, seed), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(t, seed, routers, servers, false)
				f.run()
				t.Logf("%d sent, %d served, %d refused", f.sent, f.served, f.refused)
				qt.Check(t, f.served > f.sent/2, qt.IsTrue)
				qt.Check(t, f.afterShutdown+f.duringBackoff+f.idle+f.afterReport, qt.Equals, 0)
			})
		}
	}
}

// All servers of a service refuse everything at times: none gets requests during its
// back-off, and no request is refused while a server accepts requests.
func TestFleetsRespectBackoffsOfAllServers(t *testing.T) {
	refused := 0
	for seed := range uint64(5) {
		f := newSimFleet(t, seed, 30, 3, true)
		f.run()
		t.Logf("%d sent, %d served, %d refused", f.sent, f.served, f.refused)
		qt.Check(t, f.served > f.sent/2, qt.IsTrue)
		qt.Check(t, f.duringBackoff+f.idle, qt.Equals, 0)
		refused += f.refused
	}
	qt.Check(t, refused > 0, qt.IsTrue)
}
