package sidecar

import (
	"goldcrestport/coordination/leave"
	"goldcrestport/coordination/share"
	"goldcrestport/transport/duty"
)

// Abort ends a graceful shutdown early: requests that are still running end
// with a typed outcome. It may be called at any time and more than once.
func (s *Sidecar) Abort() { s.abortOnce.Do(func() { close(s.abort) }) }

// shutDown stops accepting work, waits for running requests and returns when
// the process may exit.
func (s *Sidecar) shutDown() {
	cfg := leave.DefaultConfig()
	cfg.Linger, cfg.Bound = s.set.Stop.Linger.D(), s.set.Stop.Bound.D()
	_ = s.log.Log("event", "leaving", "held", s.inFlight.Load())
	s.shuttingDown.Store(true)
	duty.Leave(cfg, s.inFlight.Load, s.abort, s.enterPhase)
}

// enterPhase starts a phase of the shutdown.
func (s *Sidecar) enterPhase(p leave.Phase) {
	switch p {
	case leave.Refusing:
		s.scheduler.post(s.ctx, message{event: share.ShutdownStarted{}})
	case leave.Ending:
		_ = s.log.Log("event", "stop_bound_passed", "held", s.inFlight.Load())
		s.scheduler.post(s.ctx, message{event: share.ShutdownStarted{}})
		s.runs.Load().cancelAll(errStopped)
	case leave.Stopped:
		s.slot.release()
		_ = s.log.Log("event", "stopped", "starts", s.starts.Load(), "held", s.inFlight.Load(),
			"last_start", s.lastStart())
	}
}
