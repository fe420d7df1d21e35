package orders

import (
	"math/rand/v2"
	"slices"
	"time"
)

// State is the reconciliation of one engine. It must be used by one goroutine
// at a time.
//
// Invariants: at most one order is on its way (brief: some engines ignore
// fencing tokens, so that two orders could overtake each other); an order is
// only sent after a validation that came after the decision for it.
type State struct {
	cfg  Config
	rng  *rand.Rand
	want Want
	have Have
	// known tells that have was read after the last order.
	known     bool
	observing bool
	// lookID is the last Observe whose answer counts: one that was asked
	// before an order tells nothing of what the engine has after it.
	lookID uint64
	lookAt time.Time

	held      Permit
	acquiring Permit
	// checking is the order that a validation is on the way for.
	checking *Order
	sent     *Order
	sentAt   time.Time
	// unsure tells that the sent order has no answer.
	unsure   bool
	paused   bool
	pausedAt time.Time
	running  int
	retryAt  time.Time
	lastID   uint64
	out      []Action
}

// New returns a state that wants nothing. The config must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))}
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.out = s.out[:0]
	switch ev := ev.(type) {
	case Wanted:
		s.wanted(now, ev.Want)
	case Observed:
		s.observed(now, ev)
	case ObserveFailed:
		s.observeFailed(now, ev.ID)
	case Granted:
		s.granted(ev.Permit)
	case Denied:
		s.acquiring = NoPermit
		s.later(now)
	case PermitLost:
		s.held = NoPermit
		s.checking = nil
	case Validated:
		s.validated(now, ev)
	case Running:
		s.running = ev.Count
	case Answered:
		s.answered(now, ev)
	case Unanswered:
		s.unsure = s.unsure || (s.sent != nil && s.sent.ID == ev.ID)
	}
	s.advance(now)
	return s.out
}

// Progress tells what is left to do.
type Progress struct {
	Revision uint64
	// Left is the number of orders still to give.
	Left int
	// Waiting is the permit that is waited for.
	Waiting Permit
	// Sent is the order on its way, nil for none.
	Sent *Order
	// Unsure tells that it has no answer.
	Unsure bool
	// Behind tells that the engine has seen a newer fencing token.
	Behind bool
}

// Progress returns what is left to do, for status.
func (s *State) Progress() Progress {
	return Progress{
		Revision: s.want.Revision, Left: len(s.todo()), Waiting: s.acquiring,
		Sent: s.sent, Unsure: s.unsure, Behind: s.behind(),
	}
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// later pauses before the next try, spread so that a pool does not try as one.
func (s *State) later(now time.Time) {
	s.retryAt = now.Add(s.cfg.Retry/2 + time.Duration(s.rng.Int64N(int64(s.cfg.Retry))))
}

func (s *State) behind() bool { return s.known && s.have.Fence > s.want.Revision }

// wanted takes up a newer configuration; what was decided for an older one and
// not sent yet is dropped.
func (s *State) wanted(now time.Time, w Want) {
	if w.Revision <= s.want.Revision {
		return
	}
	s.want = w
	s.checking = nil
	s.lookAt = now
}

func (s *State) observeFailed(now time.Time, id uint64) {
	if id != s.lookID {
		return
	}
	s.observing = false
	s.later(now)
}

func (s *State) observed(now time.Time, ev Observed) {
	if ev.ID != s.lookID {
		return
	}
	s.observing = false
	s.have, s.known = ev.Have, true
	s.lookAt = now.Add(s.cfg.ObserveEvery)
	if s.sent == nil || !s.unsure {
		return
	}
	if s.shows(*s.sent) || now.Sub(s.sentAt) >= s.cfg.WaitOut {
		s.sent, s.unsure = nil, false
		return
	}
	s.lookAt = now.Add(s.cfg.Retry)
}

// shows reports whether the engine has what the order was for.
func (s *State) shows(o Order) bool {
	switch o.Verb {
	case Load:
		return slices.Contains(s.have.Items, o.Item)
	case Unload:
		return !slices.Contains(s.have.Items, o.Item)
	default:
		return s.have.Role == o.Role
	}
}

func (s *State) granted(p Permit) {
	if s.acquiring != p {
		s.emit(Release{Permit: p})
		return
	}
	s.acquiring, s.held = NoPermit, p
}

func (s *State) validated(now time.Time, ev Validated) {
	o := s.checking
	s.checking = nil
	if o == nil {
		return
	}
	if !ev.OK || ev.Revision != o.Fence {
		s.later(now)
		return
	}
	s.sent, s.sentAt, s.known = o, now, false
	s.lookID++
	s.observing = false
	s.emit(Send{Order: *o})
}

func (s *State) answered(now time.Time, ev Answered) {
	if s.sent == nil || s.sent.ID != ev.ID {
		return
	}
	s.sent, s.unsure = nil, false
	s.lookAt = now
	if ev.Refused {
		s.later(now)
	}
}
