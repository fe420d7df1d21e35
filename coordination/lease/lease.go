package lease

import (
	"math/rand/v2"
	"time"
)

// Phase is the state of the sidecar's claim to its slot.
type Phase int

const (
	// Waiting has not received a response from the platform yet.
	Waiting Phase = iota
	// Held has the lease, as far as the sidecar knows.
	Held
	// Provisional serves without a lease, because the platform does not respond
	// and no other holder is known.
	Provisional
	// Suspect was suspended while its lease expired: no run is started.
	Suspect
	// Standby found that another process holds the slot: no run is started.
	Standby
)

// State is the state of one sidecar's claim to its slot. It must not be used
// concurrently.
//
// Invariants, from DESIGN section 7: no run is started while Waiting, Suspect or
// Standby; a process that was suspended while its lease expired is Suspect until
// the platform has responded; a lease that expired while the process was running
// does not stop it (the platform was unreachable, and an outage of the platform
// must not stop serving); a process that acquires the slot after Suspect or
// Standby does so as a new incarnation.
type State struct {
	cfg   Config
	rng   *rand.Rand
	phase Phase
	// validUntil is the time until which the lease is certainly valid. It counts
	// from when the last successful renewal was sent.
	validUntil time.Time
	// lastTick is the time of the last tick, nextCall that of the next call.
	lastTick time.Time
	nextCall time.Time
	// callPending is set while a call to the platform is pending.
	callPending bool
	// hasLease is set while the platform granted a lease that is not known to
	// have expired.
	hasLease bool
}

// New returns the state of a process that has just started. The config must
// be valid.
func New(cfg Config) *State {
	return &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))}
}

// Phase returns the current phase.
func (s *State) Phase() Phase { return s.phase }

// MayStart reports whether a run may be started at the time now. The driver must
// call it right before each start: a process that resumes from suspension may
// start a run before its next tick.
func (s *State) MayStart(now time.Time) bool {
	return (s.phase == Held || s.phase == Provisional) && !s.suspendedPastLease(now)
}

// suspendedPastLease reports whether the process was suspended until now and its
// lease expired meanwhile.
func (s *State) suspendedPastLease(now time.Time) bool {
	return now.Sub(s.lastTick) >= s.cfg.Pause && !now.Before(s.validUntil)
}

// Step applies one event at the time now and returns the action to perform,
// or nil.
func (s *State) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Ticked:
		return s.handleTick(now)
	case Acquired:
		s.hasLease = true
		s.confirmLease(now, ev.Sent)
	case Renewed:
		s.confirmLease(now, ev.Sent)
	case Lapsed:
		s.hasLease = false
		s.callPending = false
		s.nextCall = now
	case Conflict:
		s.hasLease = false
		s.endCall(now, Standby, s.cfg.RenewEvery)
	case NoAnswer:
		s.handleNoAnswer(now)
	}
	return nil
}

func (s *State) handleTick(now time.Time) Action {
	if (s.phase == Held || s.phase == Provisional) && !s.lastTick.IsZero() && s.suspendedPastLease(now) {
		s.phase = Suspect
		s.nextCall = now
	}
	s.lastTick = now
	if s.callPending || now.Before(s.nextCall) {
		return nil
	}
	s.callPending = true
	if s.hasLease {
		return Renew{Verify: s.phase == Suspect}
	}
	return Acquire{Fresh: s.phase == Suspect || s.phase == Standby}
}

// confirmLease handles a response that confirms the lease as of the time its
// call was sent. A response that arrives after the TTL is disregarded.
func (s *State) confirmLease(now, sent time.Time) {
	valid := sent.Add(s.cfg.TTL)
	if !now.Before(valid) {
		s.callPending = false
		s.nextCall = now
		return
	}
	s.validUntil = valid
	s.endCall(now, Held, s.cfg.RenewEvery)
}

func (s *State) handleNoAnswer(now time.Time) {
	phase := s.phase
	if phase == Waiting {
		phase = Provisional
	}
	s.endCall(now, phase, s.cfg.RetryEvery)
}

// endCall ends the pending call and schedules the next one with jitter.
func (s *State) endCall(now time.Time, p Phase, mean time.Duration) {
	s.phase = p
	s.callPending = false
	factor := 1 + s.cfg.Jitter*(2*s.rng.Float64()-1)
	s.nextCall = now.Add(time.Duration(float64(mean) * factor))
}
