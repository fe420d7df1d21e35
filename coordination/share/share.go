package share

import (
	"math/rand/v2"
	"time"

	"goldcrestport/state/estimate"
	"goldcrestport/state/ledger"
)

// seedMix derives the second word of the random source's seed.
const seedMix = 0x9e3779b97f4a7c15

// State is the state of one sidecar's scheduler. It must be used by one goroutine at a
// time.
type State struct {
	cfg          Config
	rng          *rand.Rand
	now          time.Time
	slots        int
	shuttingDown bool
	drained      bool
	accounts     map[string]*account
	// backlogged holds the accounts of the teams with queued work.
	backlogged map[string]*account
	// unresponsive holds the routers that left a pull unanswered.
	unresponsive map[string]bool
	shares       map[string]float64
	ledger       *ledger.Ledger
	costs        *estimate.Table
	runs         map[uint64]*run
	ready        []*run
	pulls        map[uint64]*pull
	lastPull     uint64
	// virtualLevel is the virtual service of the team at the last choice. A team that becomes
	// backlogged while no other is starts from it.
	virtualLevel float64
	serviceRate  serviceRate
	lastTick     time.Time
	timing       timing
	restored     bool
	sendSeq      uint64
	stats        Stats
	lastReport   Report
	actions      []Action
}

// New returns an empty state. The config must be valid.
func New(cfg Config) *State {
	return &State{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^seedMix)),
		slots:        cfg.Slots,
		accounts:     map[string]*account{},
		backlogged:   map[string]*account{},
		unresponsive: map[string]bool{},
		shares:       map[string]float64{},
		ledger:       ledger.New(cfg.Ledger),
		costs:        estimate.New(cfg.Estimate),
		runs:         map[uint64]*run{},
		pulls:        map[uint64]*pull{},
	}
}

// Step applies one event at the time now and returns the actions to perform, in order. The
// slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = s.actions[:0]
	s.advance(now)
	s.apply(now, ev)
	s.startReady(now)
	s.sendPulls(now)
	s.report(ev)
	return s.actions
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
	case CountersReceived:
		s.mergeCounters(now, ev)
	case ShutdownStarted:
		s.shuttingDown = true
		s.declineReady()
	case Drained:
		s.drained = ev.On
		s.declineReady()
	case Ticked:
		s.tick(now)
	}
}

// advance accounts for the time since the last event.
func (s *State) advance(now time.Time) {
	if !s.now.IsZero() {
		elapsed := now.Sub(s.now)
		s.stats.advance(s, elapsed)
	}
	s.now = now
}

func (s *State) tick(now time.Time) {
	if !s.lastTick.IsZero() {
		elapsed := now.Sub(s.lastTick)
		s.forgiveDebts(elapsed)
		s.serviceRate.advance(elapsed)
		s.countDeferred(elapsed)
	}
	s.lastTick = now
	s.ledger.Expire(now)
	s.expirePulls(now)
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// closed reports whether no new work is accepted.
func (s *State) closed() bool { return s.isDraining() || s.slots == 0 }

// isDraining reports whether the sidecar is shutting down or drained.
func (s *State) isDraining() bool { return s.shuttingDown || s.drained }

// Capacity returns the present capacity, for the periodic report.
func (s *State) Capacity() Report {
	r := Report{Slots: s.slots, Draining: s.isDraining(), Waiting: len(s.ready)}
	if !s.closed() {
		r.Free = max(s.free(), 0)
	}
	return r
}

// report emits the capacity when the slots or the draining state changed, or the number of
// free slots between none and some. Routers that push need every change, so they get it
// with each tick.
func (s *State) report(ev Event) {
	r := s.Capacity()
	before := s.lastReport
	same := r.Slots == before.Slots && r.Draining == before.Draining
	if s.cfg.Policy == PolicyPush {
		if _, tick := ev.(Ticked); !tick || r == before {
			return
		}
	} else if same && (r.Free > 0) == (before.Free > 0) {
		return
	}
	s.lastReport = r
	s.emit(r)
}
