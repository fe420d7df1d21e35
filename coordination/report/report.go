// Package report decides which routers a sidecar sends its free capacity to, and when, so that
// the messages stay within a budget however many routers there are.
//
// The package is a pure state machine: State.Step takes an event and the time and returns the
// routers to send a report to. It has no I/O, clock or goroutines. The driver is
// transport/sidecar.
//
// A report is a hint that saves a declined offer or lets a router offer at all. Waiting work
// is registered with sidecars and pulled without reports, so a late report costs time but
// never blocks work.
//
// Sidecars use it.
package report

import (
	"container/list"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the message budget of the reports.
type Config struct {
	// PerSecond is the limit on reports, in messages per second. Default 50.
	PerSecond float64
	// Burst is the limit on saved-up reports, in messages. Default 100.
	Burst float64
	// RefreshInterval is the time after which a router is sent a report again although nothing
	// has changed, if the budget allows. Default 1s.
	RefreshInterval time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{PerSecond: 50, Burst: 100, RefreshInterval: time.Second}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	if c.PerSecond <= 0 {
		err = errors.CombineErrors(err, errors.New("PerSecond must be positive"))
	}
	if c.Burst < 1 {
		err = errors.CombineErrors(err, errors.New("Burst must be at least 1"))
	}
	if c.RefreshInterval <= 0 {
		err = errors.CombineErrors(err, errors.New("RefreshInterval must be positive"))
	}
	return err
}

// Room is the content of a report: the slots of the sidecar, how many are free, and whether it
// is draining or ejected.
type Room struct {
	Slots   int
	Free    int
	Leaving bool
	Ejected bool
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Connected is the event of a router's control stream opening. It gets a report at once.
type Connected struct{ Router string }

// Disconnected is the event of a router's control stream ending.
type Disconnected struct{ Router string }

// Changed carries the sidecar's current room.
type Changed struct{ Room Room }

// Announced requests a report to every router at once, regardless of the budget.
type Announced struct{}

// Ticked advances the time.
type Ticked struct{}

func (Connected) isEvent()    {}
func (Disconnected) isEvent() {}
func (Changed) isEvent()      {}
func (Announced) isEvent()    {}
func (Ticked) isEvent()       {}

// recipient is a router with the last report sent to it.
type recipient struct {
	router string
	room   Room
	at     time.Time
}

// State is the state of one sidecar's reports. It must be used by one goroutine at a time.
type State struct {
	cfg     Config
	room    Room
	routers map[string]*list.Element
	// order holds *recipient, the least recently updated first.
	order  *list.List
	tokens float64
	at     time.Time
	out    []string
}

// New returns a state without routers. The config must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, routers: map[string]*list.Element{}, order: list.New(), tokens: cfg.Burst}
}

// Step applies one event at the time now and returns the routers to send the current room to.
// The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []string {
	s.out = s.out[:0]
	s.refill(now)
	switch ev := ev.(type) {
	case Connected:
		s.remove(ev.Router)
		s.routers[ev.Router] = s.order.PushFront(&recipient{router: ev.Router})
		s.send(now, s.routers[ev.Router])
	case Disconnected:
		s.remove(ev.Router)
	case Changed:
		urgent := ev.Room.Leaving != s.room.Leaving || ev.Room.Ejected != s.room.Ejected
		s.room = ev.Room
		if urgent {
			s.sendAll(now)
		}
	case Announced:
		s.sendAll(now)
	}
	s.sendWithinBudget(now, s.outdated)
	s.sendWithinBudget(now, func(r *recipient) bool { return now.Sub(r.at) >= s.cfg.RefreshInterval })
	return s.out
}

// Room returns the room to send.
func (s *State) Room() Room { return s.room }

func (s *State) refill(now time.Time) {
	if elapsed := now.Sub(s.at); !s.at.IsZero() && elapsed > 0 {
		s.tokens = min(s.tokens+elapsed.Seconds()*s.cfg.PerSecond, s.cfg.Burst)
	}
	if s.at.Before(now) {
		s.at = now
	}
}

func (s *State) remove(router string) {
	if el := s.routers[router]; el != nil {
		s.order.Remove(el)
		delete(s.routers, router)
	}
}

// outdated reports whether the last report to a router said that slots are free when none are,
// or the other way round.
func (s *State) outdated(r *recipient) bool { return (r.room.Free > 0) != (s.room.Free > 0) }

// sendWithinBudget sends to the routers that are due, as far as the budget goes, the least
// recently updated first.
func (s *State) sendWithinBudget(now time.Time, due func(*recipient) bool) {
	el := s.order.Front()
	for range s.order.Len() {
		next := el.Next()
		if s.tokens < 1 {
			return
		}
		if due(el.Value.(*recipient)) { // the list contains only *recipient
			s.send(now, el)
		}
		el = next
	}
}

func (s *State) sendAll(now time.Time) {
	el := s.order.Front()
	for range s.order.Len() {
		next := el.Next()
		s.send(now, el)
		el = next
	}
}

// send marks one router for a report. Reports that are sent at once regardless of the budget
// are paid for later, by a negative token count.
func (s *State) send(now time.Time, el *list.Element) {
	r := el.Value.(*recipient) // the list contains only *recipient
	r.room, r.at = s.room, now
	s.order.MoveToBack(el)
	s.tokens = max(s.tokens-1, -s.cfg.Burst)
	s.out = append(s.out, r.router)
}
