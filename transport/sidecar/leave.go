package sidecar

import (
	"goldcrestport/coordination/leave"
	"goldcrestport/coordination/share"
	"goldcrestport/transport/duty"
)

// Abort ends a graceful shutdown early: what still runs ends with a typed
// outcome. It may be called at any time and more than once.
func (s *Sidecar) Abort() { s.abortOnce.Do(func() { close(s.abort) }) }

// leave stops new work, waits for what runs and returns when the process may
// end.
func (s *Sidecar) leave() {
	cfg := leave.DefaultConfig()
	cfg.Linger, cfg.Bound = s.set.Stop.Linger.D(), s.set.Stop.Bound.D()
	_ = s.log.Log("event", "leaving", "held", s.held.Load())
	s.leaving.Store(true)
	duty.Leave(cfg, s.held.Load, s.abort, s.enter)
}

// enter begins a phase of leaving.
func (s *Sidecar) enter(p leave.Phase) {
	switch p {
	case leave.Refusing:
		s.chooser.post(s.ctx, message{event: share.ShutdownStarted{}})
	case leave.Ending:
		_ = s.log.Log("event", "stop_bound_passed", "held", s.held.Load())
		s.chooser.post(s.ctx, message{event: share.ShutdownStarted{}})
		s.runs.Load().cancelAll(errStopped)
	case leave.Stopped:
		s.slot.release()
		_ = s.log.Log("event", "stopped", "starts", s.starts.Load(), "held", s.held.Load(),
			"last_start", s.lastStart())
	}
}
