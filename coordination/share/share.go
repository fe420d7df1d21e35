package share

import (
	"math"
	"sort"
	"time"
)

// pullTimeout is how long a pull may stay unanswered before its slot is used
// for another one.
const pullTimeout = 2 * time.Second

// State is the state of one sidecar's choice. It must be used by one
// goroutine at a time.
type State struct {
	cfg      Config
	slots    int
	leaving  bool
	drained  bool
	accounts map[string]*account
	shares   map[string]float64
	runs     map[uint64]*run
	ready    []*run
	pulls    map[uint64]*pull
	lastPull uint64
	floor    float64
	reported Report
	out      []Action
}

// account is the service that one team had here.
type account struct {
	team string
	// served is the cost given so far, in cost units.
	served float64
	// pending is the estimated cost of pulls and attempts not yet counted.
	pending float64
	// lift is a local offset of the virtual service. It never enters served.
	lift    float64
	routers map[string]Interest
	next    int
}

// run is an attempt that holds a slot or waits for one.
type run struct {
	attempt  uint64
	team     string
	estimate float64
	cost     float64
}

// pull is a pull that was not answered yet.
type pull struct {
	router string
	team   string
	sent   time.Time
}

// New returns the empty state. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		slots:    cfg.Slots,
		accounts: map[string]*account{},
		shares:   map[string]float64{},
		runs:     map[uint64]*run{},
		pulls:    map[uint64]*pull{},
	}
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.out = s.out[:0]
	switch ev := ev.(type) {
	case Interest:
		s.interest(ev)
	case RouterDown:
		s.routerDown(ev.Router)
	case Offered:
		s.offered(ev)
	case PullEmpty:
		s.pullEmpty(ev.Pull)
	case Progressed:
		s.progress(ev.Attempt, ev.Cost)
	case Ended:
		s.ended(ev)
	case SharesSet:
		s.shares = ev.Shares
	case SlotsSet:
		s.slots = ev.Slots
	case Left:
		s.leaving = true
		s.declineReady()
	case Drained:
		s.drained = ev.On
		s.declineReady()
	case Ticked:
		s.expirePulls(now)
	}
	s.startReady()
	s.fill(now)
	s.report()
	return s.out
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// closed reports whether no new work is taken.
func (s *State) closed() bool { return s.leaving || s.drained }

func (s *State) account(team string) *account {
	a := s.accounts[team]
	if a == nil {
		a = &account{team: team, routers: map[string]Interest{}}
		s.accounts[team] = a
	}
	return a
}

func (s *State) share(team string) float64 {
	if w := s.shares[team]; w > 0 {
		return w
	}
	return s.cfg.DefaultShare
}

// virtual returns the team's virtual service: cost per share, with the lift.
func (s *State) virtual(a *account) float64 {
	return a.lift + (a.served+a.pending)/s.share(a.team)
}

func (s *State) interest(ev Interest) {
	a := s.account(ev.Team)
	if ev.Count == 0 {
		delete(a.routers, ev.Router)
		return
	}
	if len(a.routers) == 0 {
		s.raise(a)
	}
	a.routers[ev.Router] = ev
}

// raise lifts a team that becomes backlogged to the smallest virtual service
// of the backlogged teams, so that no credit is saved up; a debt stays.
func (s *State) raise(a *account) {
	if v := s.virtual(a); v < s.floor {
		a.lift += s.floor - v
	}
}

func (s *State) routerDown(router string) {
	for _, a := range s.accounts {
		delete(a.routers, router)
	}
	for id, p := range s.pulls {
		if p.router == router {
			s.pullEmpty(id)
		}
	}
}

func (s *State) offered(ev Offered) {
	asked := s.takePull(ev.Pull)
	r := &run{attempt: ev.Attempt, team: ev.Team, estimate: ev.Estimate}
	if s.closed() || (!asked && s.free() <= 0) {
		s.emit(Decline{Attempt: ev.Attempt})
		return
	}
	a := s.account(ev.Team)
	if len(a.routers) == 0 && !asked {
		s.raise(a)
	}
	s.ready = append(s.ready, r)
}

// takePull forgets an answered pull and reports whether it was open.
func (s *State) takePull(id uint64) bool {
	p := s.pulls[id]
	if p == nil {
		return false
	}
	delete(s.pulls, id)
	s.account(p.team).pending -= s.pullCharge(p.team)
	return true
}

func (s *State) pullEmpty(id uint64) {
	p := s.pulls[id]
	if !s.takePull(id) {
		return
	}
	delete(s.account(p.team).routers, p.router)
}

// pullCharge is what a pull counts until its request is known.
func (s *State) pullCharge(string) float64 { return 1 }

func (s *State) progress(attempt uint64, cost float64) {
	r := s.runs[attempt]
	if r == nil || cost <= r.cost {
		return
	}
	s.account(r.team).served += cost - r.cost
	r.cost = cost
}

func (s *State) ended(ev Ended) {
	s.progress(ev.Attempt, ev.Cost)
	delete(s.runs, ev.Attempt)
	for i, r := range s.ready {
		if r.attempt == ev.Attempt {
			s.ready = append(s.ready[:i], s.ready[i+1:]...)
			return
		}
	}
}

func (s *State) expirePulls(now time.Time) {
	for id, p := range s.pulls {
		if now.Sub(p.sent) > pullTimeout {
			s.pullEmpty(id)
		}
	}
}

// declineReady turns away what waits for a slot once no new work is taken, so
// that it goes back to its router's queue.
func (s *State) declineReady() {
	if !s.closed() {
		return
	}
	for _, r := range s.ready {
		s.emit(Decline{Attempt: r.attempt})
	}
	s.ready = nil
}

// startReady starts attempts that are here while slots are free.
func (s *State) startReady() {
	for len(s.ready) > 0 && len(s.runs) < s.slots {
		r := s.ready[0]
		s.ready = s.ready[1:]
		s.runs[r.attempt] = r
		s.emit(Start{Attempt: r.attempt})
	}
}

// free is the number of slots with nothing on the way to them.
func (s *State) free() int {
	return s.slots - len(s.runs) - len(s.ready) - len(s.pulls)
}

// fill pulls for free slots and the look-ahead.
func (s *State) fill(now time.Time) {
	if s.closed() {
		return
	}
	for s.free()+s.cfg.LookAhead > 0 {
		a := s.choose()
		if a == nil {
			return
		}
		router := a.pickRouter()
		s.lastPull++
		s.pulls[s.lastPull] = &pull{router: router, team: a.team, sent: now}
		a.pending += s.pullCharge(a.team)
		s.emit(Pull{ID: s.lastPull, Router: router, Team: a.team})
	}
}

// choose returns the registered team with the smallest virtual service.
func (s *State) choose() *account {
	var best *account
	least := math.Inf(1)
	for _, a := range s.accounts {
		if !s.pullable(a) {
			continue
		}
		v := s.virtual(a)
		if v < least || (v == least && a.team < best.team) {
			best, least = a, v
		}
	}
	if best != nil && least > s.floor {
		s.floor = least
	}
	return best
}

// pullable reports whether more requests wait than pulls are on the way.
func (s *State) pullable(a *account) bool {
	if len(a.routers) == 0 {
		return false
	}
	waiting := 0
	for _, i := range a.routers {
		waiting += i.Count
	}
	return waiting > 0
}

// pickRouter returns the routers that hold the team's work in turn.
func (a *account) pickRouter() string {
	names := make([]string, 0, len(a.routers))
	for r := range a.routers {
		names = append(names, r)
	}
	sort.Strings(names)
	a.next++
	return names[a.next%len(names)]
}

// Room returns the present room, for the periodic report.
func (s *State) Room() Report {
	r := Report{Slots: s.slots, Free: max(s.free(), 0), Leaving: s.closed()}
	if s.closed() {
		r.Free = 0
	}
	return r
}

// report tells the routers the room when it changed between none and some.
func (s *State) report() {
	r := s.Room()
	before := s.reported
	same := r.Slots == before.Slots && r.Leaving == before.Leaving
	if same && (r.Free > 0) == (before.Free > 0) {
		return
	}
	s.reported = r
	s.emit(r)
}
