package share

import (
	"math/rand/v2"
	"time"

	"goldcrestport/state/estimate"
	"goldcrestport/state/ledger"
)

// seedMix makes the second word of the random source's seed.
const seedMix = 0x9e3779b97f4a7c15

// State is the state of one sidecar's choice. It must be used by one
// goroutine at a time.
type State struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Time
	slots    int
	leaving  bool
	drained  bool
	accounts map[string]*account
	// backlogged holds the accounts of the teams with waiting work.
	backlogged map[string]*account
	// barred holds the routers that left a pull unanswered.
	barred   map[string]bool
	shares   map[string]float64
	ledger   *ledger.Ledger
	costs    *estimate.Table
	runs     map[uint64]*run
	ready    []*run
	pulls    map[uint64]*pull
	lastPull uint64
	// level is the virtual service at which the last choice was made. A team
	// that becomes backlogged beside no other starts from it.
	level    float64
	pace     pace
	ticked   time.Time
	timing   timing
	restored bool
	tellings uint64
	stats    Stats
	reported Report
	out      []Action
}

// New returns the empty state. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^seedMix)),
		slots:      cfg.Slots,
		accounts:   map[string]*account{},
		backlogged: map[string]*account{},
		barred:     map[string]bool{},
		shares:     map[string]float64{},
		ledger:     ledger.New(cfg.Ledger),
		costs:      estimate.New(cfg.Estimate),
		runs:       map[uint64]*run{},
		pulls:      map[uint64]*pull{},
	}
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.out = s.out[:0]
	s.advance(now)
	s.apply(now, ev)
	s.startReady(now)
	s.fill(now)
	s.report(ev)
	return s.out
}

func (s *State) apply(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Interest:
		s.interest(now, ev)
	case RouterDown:
		s.routerDown(ev.Router)
	case Offered:
		s.offered(now, ev)
	case PullEmpty:
		s.pullEmpty(ev.Pull)
	case PullFailed:
		s.pullLost(ev.Pull)
	case Progressed:
		s.progress(ev.Attempt, ev.Cost)
	case Ended:
		s.ended(now, ev)
	case SharesSet:
		s.setShares(ev.Shares)
	case SlotsSet:
		s.slots = ev.Slots
		s.declineReady()
	case Heard:
		s.heard(now, ev)
	case Left:
		s.leaving = true
		s.declineReady()
	case Drained:
		s.drained = ev.On
		s.declineReady()
	case Ticked:
		s.tick(now)
	}
}

// advance lets the time pass since the last event.
func (s *State) advance(now time.Time) {
	if !s.now.IsZero() {
		elapsed := now.Sub(s.now)
		s.stats.advance(s, elapsed)
	}
	s.now = now
}

func (s *State) tick(now time.Time) {
	if !s.ticked.IsZero() {
		elapsed := now.Sub(s.ticked)
		s.forgive(elapsed)
		s.pace.advance(elapsed)
		s.release(elapsed)
	}
	s.ticked = now
	s.ledger.Expire(now)
	s.expirePulls(now)
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// closed reports whether no new work is taken.
func (s *State) closed() bool { return s.parting() || s.slots == 0 }

// parting reports whether the sidecar leaves or is drained.
func (s *State) parting() bool { return s.leaving || s.drained }

// Room returns the present room, for the periodic report.
func (s *State) Room() Report {
	r := Report{Slots: s.slots, Leaving: s.parting(), Waiting: len(s.ready)}
	if !s.closed() {
		r.Free = max(s.free(), 0)
	}
	return r
}

// report tells the routers the room when it changed between none and some.
// Routers that push need it each time, so they get it with each tick.
func (s *State) report(ev Event) {
	r := s.Room()
	before := s.reported
	same := r.Slots == before.Slots && r.Leaving == before.Leaving
	if s.cfg.Policy == PolicyPush {
		if _, tick := ev.(Ticked); !tick || r == before {
			return
		}
	} else if same && (r.Free > 0) == (before.Free > 0) {
		return
	}
	s.reported = r
	s.emit(r)
}
