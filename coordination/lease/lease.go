package lease

import (
	"math/rand/v2"
	"time"
)

// Phase is the sidecar's hold on its slot.
type Phase int

const (
	// Waiting has not heard from the platform yet.
	Waiting Phase = iota
	// Held has the lease, as far as is known.
	Held
	// Provisional serves without a lease, since the platform does not answer
	// and no other holder is known.
	Provisional
	// Suspect was frozen while its lease lapsed: nothing is started.
	Suspect
	// Standby found another holder: nothing is started.
	Standby
)

// State is the state of one sidecar's hold. It must be used by one goroutine
// at a time.
//
// Invariants, from DESIGN section 7: nothing is started while Waiting, Suspect
// or Standby; a process that was frozen while its lease lapsed is Suspect
// until the platform has answered; a lease that lapsed while the process was
// awake does not stop it (the platform was out of reach, and losing it must
// not stop serving); whoever takes the slot after Suspect or Standby does so
// as a new incarnation.
type State struct {
	cfg   Config
	rng   *rand.Rand
	phase Phase
	// valid is the time until which the lease holds for sure. It counts from
	// the sending of the last call that renewed it.
	valid time.Time
	// tick is the time of the last tick.
	tick time.Time
	next time.Time
	// busy is set while a call to the platform is on its way.
	busy bool
	// leased tells that the platform granted a lease that is not known to be
	// gone.
	leased bool
}

// New returns the state of a process that has just started. The config must
// be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))}
}

// Phase returns the present hold.
func (s *State) Phase() Phase { return s.phase }

// MayStart reports whether a run may be started at the time now. It is asked
// right before each start, since a process that wakes up may get there before
// its next tick.
func (s *State) MayStart(now time.Time) bool {
	return (s.phase == Held || s.phase == Provisional) && !s.frozen(now)
}

// frozen reports whether the process was frozen up to now while its lease
// lapsed.
func (s *State) frozen(now time.Time) bool {
	return now.Sub(s.tick) >= s.cfg.Pause && !now.Before(s.valid)
}

// Step applies one event at the time now and returns the action to perform,
// or nil.
func (s *State) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Ticked:
		return s.ticked(now)
	case Acquired:
		s.leased = true
		s.hold(now, ev.Sent)
	case Renewed:
		s.hold(now, ev.Sent)
	case Lapsed:
		s.leased = false
		s.busy = false
		s.next = now
	case Conflict:
		s.leased = false
		s.wait(now, Standby, s.cfg.RenewEvery)
	case NoAnswer:
		s.noAnswer(now)
	}
	return nil
}

func (s *State) ticked(now time.Time) Action {
	if (s.phase == Held || s.phase == Provisional) && !s.tick.IsZero() && s.frozen(now) {
		s.phase = Suspect
		s.next = now
	}
	s.tick = now
	if s.busy || now.Before(s.next) {
		return nil
	}
	s.busy = true
	if s.leased {
		return Renew{Verify: s.phase == Suspect}
	}
	return Acquire{Fresh: s.phase == Suspect || s.phase == Standby}
}

// hold takes an answer that proves the lease as of the time it was asked for.
// One that came too late proves nothing.
func (s *State) hold(now, sent time.Time) {
	valid := sent.Add(s.cfg.TTL)
	if !now.Before(valid) {
		s.busy = false
		s.next = now
		return
	}
	s.valid = valid
	s.wait(now, Held, s.cfg.RenewEvery)
}

func (s *State) noAnswer(now time.Time) {
	phase := s.phase
	if phase == Waiting {
		phase = Provisional
	}
	s.wait(now, phase, s.cfg.RetryEvery)
}

// wait ends a call and sets the time of the next one.
func (s *State) wait(now time.Time, p Phase, mean time.Duration) {
	s.phase = p
	s.busy = false
	vary := 1 + s.cfg.Jitter*(2*s.rng.Float64()-1)
	s.next = now.Add(time.Duration(float64(mean) * vary))
}
