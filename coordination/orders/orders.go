package orders

import (
	"math/rand/v2"
	"slices"
	"time"
)

// State is the reconciliation of one engine. It must be used by one goroutine
// at a time.
//
// Invariants: at most one order is in flight (some engines ignore fencing
// tokens, so two orders could overtake each other); an order is sent only after
// a validation that was requested after the order was decided.
type State struct {
	cfg  Config
	rng  *rand.Rand
	want Want
	have Have
	// haveCurrent is true if have was read after the last order.
	haveCurrent bool
	observing   bool
	// observeID is the only Observe whose answer is used: one requested before
	// an order doesn't show the engine's state after it.
	observeID uint64
	observeAt time.Time

	heldPermit      Permit
	requestedPermit Permit
	// validating is the order whose validation is in flight.
	validating *Order
	sent       *Order
	sentAt     time.Time
	// unanswered is true if the sent order got no answer and may still take
	// effect.
	unanswered bool
	paused     bool
	pausedAt   time.Time
	running    int
	retryAt    time.Time
	lastID     uint64
	actions    []Action
}

// New returns a state without a desired state. The config must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))}
}

// Step applies one event at the time now and returns the actions to perform,
// in order. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = s.actions[:0]
	switch ev := ev.(type) {
	case WantChanged:
		s.setWant(now, ev.Want)
	case Observed:
		s.observed(now, ev)
	case ObserveFailed:
		s.observeFailed(now, ev.ID)
	case Granted:
		s.granted(ev.Permit)
	case Denied:
		s.requestedPermit = NoPermit
		s.scheduleRetry(now)
	case PermitLost:
		s.heldPermit = NoPermit
		s.validating = nil
	case Validated:
		s.validated(now, ev)
	case Running:
		s.running = ev.Count
	case Answered:
		s.answered(now, ev)
	case Unanswered:
		s.unanswered = s.unanswered || (s.sent != nil && s.sent.ID == ev.ID)
	}
	s.advance(now)
	return s.actions
}

// Progress is the state of the reconciliation.
type Progress struct {
	Revision uint64
	// Remaining is the number of orders that remain to be sent.
	Remaining int
	// WaitingFor is the permit that has been requested but not granted.
	WaitingFor Permit
	// Sent is the order in flight, nil for none.
	Sent *Order
	// Unanswered is true if the order in flight got no answer and may or may not
	// take effect.
	Unanswered bool
	// Behind is true if the engine has seen a newer fencing token.
	Behind bool
}

// Progress returns the state of the reconciliation, for status reports.
func (s *State) Progress() Progress {
	return Progress{
		Revision: s.want.Revision, Remaining: len(s.pendingOrders()), WaitingFor: s.requestedPermit,
		Sent: s.sent, Unanswered: s.unanswered, Behind: s.behind(),
	}
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// scheduleRetry delays the next attempt, with jitter so that the sidecars of a
// pool don't retry at the same time.
func (s *State) scheduleRetry(now time.Time) {
	s.retryAt = now.Add(s.cfg.Retry/2 + time.Duration(s.rng.Int64N(int64(s.cfg.Retry))))
}

func (s *State) behind() bool { return s.haveCurrent && s.have.Fence > s.want.Revision }

// setWant adopts a newer configuration and drops an order that was decided for an
// older one and not sent yet.
func (s *State) setWant(now time.Time, w Want) {
	if w.Revision <= s.want.Revision {
		return
	}
	s.want = w
	s.validating = nil
	s.observeAt = now
}

func (s *State) observeFailed(now time.Time, id uint64) {
	if id != s.observeID {
		return
	}
	s.observing = false
	s.scheduleRetry(now)
}

func (s *State) observed(now time.Time, ev Observed) {
	if ev.ID != s.observeID {
		return
	}
	s.observing = false
	s.have, s.haveCurrent = ev.Have, true
	s.observeAt = now.Add(s.cfg.ObserveEvery)
	if s.sent == nil || !s.unanswered {
		return
	}
	if s.tookEffect(*s.sent) || now.Sub(s.sentAt) >= s.cfg.WaitOut {
		s.sent, s.unanswered = nil, false
		return
	}
	s.observeAt = now.Add(s.cfg.Retry)
}

// tookEffect reports whether the observed state shows the effect of the order.
func (s *State) tookEffect(o Order) bool {
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
	if s.requestedPermit != p {
		s.emit(Release{Permit: p})
		return
	}
	s.requestedPermit, s.heldPermit = NoPermit, p
}

func (s *State) validated(now time.Time, ev Validated) {
	o := s.validating
	s.validating = nil
	if o == nil {
		return
	}
	if !ev.OK || ev.Revision != o.Fence {
		s.scheduleRetry(now)
		return
	}
	s.sent, s.sentAt, s.haveCurrent = o, now, false
	s.observeID++
	s.observing = false
	s.emit(Send{Order: *o})
}

func (s *State) answered(now time.Time, ev Answered) {
	if s.sent == nil || s.sent.ID != ev.ID {
		return
	}
	s.sent, s.unanswered = nil, false
	s.observeAt = now
	if ev.Refused {
		s.scheduleRetry(now)
	}
}
