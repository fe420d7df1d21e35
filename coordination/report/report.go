// Package report decides which routers a sidecar tells of its room, and when,
// so that the messages stay within a budget however many routers there are.
//
// The package is a pure state machine: State.Step takes an event and the time
// and returns the routers to tell. It has no I/O, clock or goroutines. The
// driver is transport/sidecar.
//
// A report is a hint that saves a declined offer or lets a router offer at
// all. Work that waits is registered with sidecars and pulled without it, so a
// late report costs time, never a stall.
//
// Sidecars use it.
package report

import (
	"container/list"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the budget of the reports.
type Config struct {
	// PerSecond bounds the reports, in messages per second. Default 50.
	PerSecond float64
	// Burst bounds the saved-up reports, in messages. Default 100.
	Burst float64
	// Beat is the time after which a router is told again though nothing has
	// changed, if the budget allows. Default 1s.
	Beat time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{PerSecond: 50, Burst: 100, Beat: time.Second}
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
	if c.Beat <= 0 {
		err = errors.CombineErrors(err, errors.New("Beat must be positive"))
	}
	return err
}

// Room is what a report tells.
type Room struct {
	Slots   int
	Free    int
	Leaving bool
	Ejected bool
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Joined is a router whose control stream opened. It is told at once.
type Joined struct{ Router string }

// Parted is a router whose control stream ended.
type Parted struct{ Router string }

// Changed is the sidecar's room now.
type Changed struct{ Room Room }

// Announced asks to tell every router at once, whatever the budget.
type Announced struct{}

// Ticked lets time pass.
type Ticked struct{}

func (Joined) isEvent()    {}
func (Parted) isEvent()    {}
func (Changed) isEvent()   {}
func (Announced) isEvent() {}
func (Ticked) isEvent()    {}

// heard is what one router was told last.
type heard struct {
	router string
	room   Room
	at     time.Time
}

// State is the state of one sidecar's reports. It must be used by one
// goroutine at a time.
type State struct {
	cfg     Config
	room    Room
	routers map[string]*list.Element
	// order holds *heard, the one told longest ago first.
	order  *list.List
	tokens float64
	at     time.Time
	out    []string
}

// New returns the state without routers. The config must be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, routers: map[string]*list.Element{}, order: list.New(), tokens: cfg.Burst}
}

// Step applies one event at the time now and returns the routers to tell the
// present room. The slice is valid until the next call.
func (s *State) Step(now time.Time, ev Event) []string {
	s.out = s.out[:0]
	s.refill(now)
	switch ev := ev.(type) {
	case Joined:
		s.parted(ev.Router)
		s.routers[ev.Router] = s.order.PushFront(&heard{router: ev.Router})
		s.tell(now, s.routers[ev.Router])
	case Parted:
		s.parted(ev.Router)
	case Changed:
		urgent := ev.Room.Leaving != s.room.Leaving || ev.Room.Ejected != s.room.Ejected
		s.room = ev.Room
		if urgent {
			s.tellAll(now)
		}
	case Announced:
		s.tellAll(now)
	}
	s.tellWithin(now, s.misled)
	s.tellWithin(now, func(h *heard) bool { return now.Sub(h.at) >= s.cfg.Beat })
	return s.out
}

// Room returns the room to tell.
func (s *State) Room() Room { return s.room }

func (s *State) refill(now time.Time) {
	if passed := now.Sub(s.at); !s.at.IsZero() && passed > 0 {
		s.tokens = min(s.tokens+passed.Seconds()*s.cfg.PerSecond, s.cfg.Burst)
	}
	if s.at.Before(now) {
		s.at = now
	}
}

func (s *State) parted(router string) {
	if el := s.routers[router]; el != nil {
		s.order.Remove(el)
		delete(s.routers, router)
	}
}

// misled reports whether a router thinks that there is room when there is
// none, or the other way round.
func (s *State) misled(h *heard) bool { return (h.room.Free > 0) != (s.room.Free > 0) }

// tellWithin tells the routers for which it is due, as far as the budget
// goes, first the one that was told longest ago.
func (s *State) tellWithin(now time.Time, due func(*heard) bool) {
	el := s.order.Front()
	for range s.order.Len() {
		next := el.Next()
		if s.tokens < 1 {
			return
		}
		if due(el.Value.(*heard)) { // only *heard is put in
			s.tell(now, el)
		}
		el = next
	}
}

func (s *State) tellAll(now time.Time) {
	el := s.order.Front()
	for range s.order.Len() {
		next := el.Next()
		s.tell(now, el)
		el = next
	}
}

// tell tells one router. What had to be told at once is paid for later, by
// tokens below zero.
func (s *State) tell(now time.Time, el *list.Element) {
	h := el.Value.(*heard) // only *heard is put in
	h.room, h.at = s.room, now
	s.order.MoveToBack(el)
	s.tokens = max(s.tokens-1, -s.cfg.Burst)
	s.out = append(s.out, h.router)
}
