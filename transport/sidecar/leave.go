package sidecar

import (
	"time"

	"goldcrestport/coordination/leave"
	"goldcrestport/coordination/share"
)

// leaveEvery is the period in which a leaving process looks at what it holds.
const leaveEvery = 10 * time.Millisecond

// Abort ends a graceful shutdown early: what still runs ends with a typed
// outcome. It may be called at any time and more than once.
func (s *Sidecar) Abort() { s.abortOnce.Do(func() { close(s.abort) }) }

// leave stops new work, waits for what runs and returns when the process may
// end.
func (s *Sidecar) leave() {
	cfg := leave.DefaultConfig()
	cfg.Linger, cfg.Bound = s.set.Stop.Linger.D(), s.set.Stop.Bound.D()
	core := leave.New(cfg)
	ticker := time.NewTicker(leaveEvery)
	defer ticker.Stop()
	_ = s.log.Log("event", "leaving", "held", s.held.Load())
	s.leaving.Store(true)
	phase := core.Step(time.Now(), leave.Asked{})
	s.enter(phase)
	abort := s.abort
	for phase != leave.Stopped {
		var ev leave.Event
		select {
		case <-ticker.C:
			ev = leave.Ticked{Held: int(s.held.Load())}
		case <-abort:
			abort, ev = nil, leave.AskedAgain{}
		}
		if next := core.Step(time.Now(), ev); next != phase {
			phase = next
			s.enter(phase)
		}
	}
}

// enter begins a phase of leaving.
func (s *Sidecar) enter(p leave.Phase) {
	switch p {
	case leave.Refusing:
		s.chooser.post(s.ctx, message{event: share.Left{}})
	case leave.Ending:
		_ = s.log.Log("event", "stop_bound_passed", "held", s.held.Load())
		s.chooser.post(s.ctx, message{event: share.Left{}})
		s.runs.Load().cancelAll(errStopped)
	case leave.Stopped:
		s.slot.release()
		_ = s.log.Log("event", "stopped", "starts", s.starts.Load(), "held", s.held.Load(),
			"last_start", s.lastStart())
	}
}
